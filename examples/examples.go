// Package examples holds bundles that are ready to be run.
package examples

import _ "embed" // The bundles are part of the program, so that it runs from any folder.

// Mushi is the bundle of Mushi & Daughters Adhesive Watch.
//
//go:embed mushi.yaml
var Mushi []byte

// Abrigo is the bundle of Fundación Abrigo Canino.
//
//go:embed abrigo.yaml
var Abrigo []byte

// ByHand is the bundle of a small fleet whose processes are started by hand.
//
//go:embed by-hand.yaml
var ByHand []byte
