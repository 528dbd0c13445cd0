package rollout

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/platform/census"
	"chervilwalk/internal/platform/object"
	"chervilwalk/internal/platform/table"
)

// Msg is something that happened.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// RowMsg answers a ReadRowCmd. A row that does not exist has version 0.
type RowMsg struct {
	Base    table.Version
	Pointer bundle.Pointer
	Err     error
}

// SealMsg answers a FetchObjectCmd or FetchPeerCmd. A peer that has no higher
// version answers with its version and no body.
type SealMsg struct {
	Source string
	Seal   bundle.Seal
	Err    error
}

// NoticeMsg says which version a peer has in force, as its own notice or as
// the answer to one.
type NoticeMsg struct {
	// Peer is the peer's inner address, or empty when From names a host.
	Peer    string
	From    ident.Host
	Version bundle.Version
	Leaving Leaving
}

// Leaving is what a node knows of the census: who is leaving, and how old the
// reading is.
type Leaving struct {
	Known bool
	Hosts []ident.Host
	Age   time.Duration
}

// CensusMsg answers a ReadCensusCmd.
type CensusMsg struct {
	Entries []census.Entry
	Err     error
}

func (TickMsg) isMsg()   {}
func (RowMsg) isMsg()    {}
func (SealMsg) isMsg()   {}
func (NoticeMsg) isMsg() {}
func (CensusMsg) isMsg() {}

// Cmd is something to do.
type Cmd interface{ isCmd() }

// ReadRowCmd reads the platform's row; a RowMsg must follow.
type ReadRowCmd struct{}

// FetchObjectCmd gets a body from the object store; a SealMsg must follow.
type FetchObjectCmd struct{ Pointer bundle.Pointer }

// FetchPeerCmd asks a peer for a bundle above a version; a SealMsg must follow.
type FetchPeerCmd struct {
	Peer  string
	Known bundle.Version
}

// NoticeCmd tells a peer what this node has; a NoticeMsg follows if it answers.
type NoticeCmd struct {
	Peer    string
	Version bundle.Version
	Leaving Leaving
}

// ReadCensusCmd reads the census; a CensusMsg must follow.
type ReadCensusCmd struct{}

// InForceCmd puts a state in force. The version of successive states never
// falls; it stays the same when only the census has changed.
type InForceCmd struct{ State *State }

// RestoreCmd writes a seal back to the platform: its body, then its row, by
// compare-and-set on the base.
type RestoreCmd struct {
	Base table.Version
	Seal bundle.Seal
}

// RefuseCmd counts and logs a bundle that was not followed.
type RefuseCmd struct {
	Source  string
	Version bundle.Version
	Reason  Reason
	// Key is the key that the seal names.
	Key string
}

func (ReadRowCmd) isCmd()     {}
func (FetchObjectCmd) isCmd() {}
func (FetchPeerCmd) isCmd()   {}
func (NoticeCmd) isCmd()      {}
func (ReadCensusCmd) isCmd()  {}
func (InForceCmd) isCmd()     {}
func (RestoreCmd) isCmd()     {}
func (RefuseCmd) isCmd()      {}

// Reason says why a bundle was refused.
type Reason string

const (
	// Untrusted bundles were altered, truncated, or signed by a stranger.
	Untrusted Reason = "untrusted"
	// Malformed bundles are signed but state something invalid.
	Malformed Reason = "malformed"
	// Older bundles have a lower version than the one in force.
	Older Reason = "older"
)

func reasonOf(err error) Reason {
	if eris.Is(err, bundle.ErrUntrusted) {
		return Untrusted
	}
	return Malformed
}

// platformSource names the platform's row in refusals.
const platformSource = "platform"

// objectPrefix begins the source of a body from the object store.
const objectPrefix = "object "

func objectSource(dg object.Digest) string {
	return objectPrefix + string(dg)
}

func isObject(source string) bool {
	return strings.HasPrefix(source, objectPrefix)
}

// Source is what the answer to a FetchObjectCmd must name.
func (cm FetchObjectCmd) Source() string {
	return objectSource(cm.Pointer.Digest)
}
