// Package census is the interface to the platform's lagging list of hosts.
package census

import (
	"context"

	"chervilwalk/internal/fleet/ident"
)

// State is what the platform says of a host.
type State string

const (
	// Live hosts are meant to run.
	Live State = "live"
	// Leaving hosts will be taken away soon.
	Leaving State = "leaving"
)

// Entry is one line of the list. It names an entry host or an upstream.
type Entry struct {
	Host  ident.Host
	State State
}

// Census lists the hosts; the list may be old.
type Census interface {
	List(ctx context.Context) ([]Entry, error)
}
