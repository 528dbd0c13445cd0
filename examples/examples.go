// Package examples embeds example bundles that are valid as they are.
package examples

import _ "embed" // Embedding lets tests and programs use the bundles from any directory.

// Mushi is the bundle of Mushi & Daughters Adhesive Watch, as YAML.
//
//go:embed mushi.yaml
var Mushi []byte

// Abrigo is the bundle of Fundación Abrigo Canino, as YAML.
//
//go:embed abrigo.yaml
var Abrigo []byte

// ByHand is the bundle of a small fleet whose processes are started by hand, as
// YAML.
//
//go:embed by-hand.yaml
var ByHand []byte
