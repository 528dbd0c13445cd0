// Package control is the codec of an upstream's control endpoint: the fenced
// grants, the load report and the cancellation that the platform's servers
// offer over HTTP with JSON bodies.
//
//	POST /_control/grant   an Order, answered with a Reply
//	POST /_control/cancel  ?id=REQUEST, answered once the slot is free
//	GET  /_control/report  the upstream's own view of its load
package control

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/grant"
)

// Paths of the control endpoint.
const (
	GrantPath  = "/_control/grant"
	CancelPath = "/_control/cancel"
	ReportPath = "/_control/report"
)

// Headers that travel with a request to an upstream.
const (
	// TokenHeader holds term.epoch.seq of the slice's grant.
	TokenHeader = "Chervilwalk-Token"
	// PoolHeader holds the pool's name.
	PoolHeader = "Chervilwalk-Pool"
	// SliceHeader holds the slice's number.
	SliceHeader = "Chervilwalk-Slice"
	// RequestHeader holds the request id.
	RequestHeader = "Chervilwalk-Request"
	// RemainingHeader holds the milliseconds left to the deadline.
	RemainingHeader = "Chervilwalk-Remaining-Ms"
	// RefusalHeader marks an answer that proves the request was not run; its
	// value is one of the Refusal constants.
	RefusalHeader = "Chervilwalk-Refusal"
)

// Values of RefusalHeader.
const (
	RefusalShed  = "shed"
	RefusalStale = "stale-token"
	// RefusalCancelled refuses a request whose cancellation came before it.
	RefusalCancelled = "cancelled"
)

type tokenJSON struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

type orderJSON struct {
	Pool   string        `json:"pool"`
	Token  tokenJSON     `json:"token"`
	Slices []ident.Slice `json:"slices,omitempty"`
	Until  int64         `json:"until"`
	Keep   bool          `json:"keep,omitempty"`
}

type replyJSON struct {
	Accepted    bool          `json:"accepted"`
	Reading     int64         `json:"reading"`
	Incarnation string        `json:"incarnation"`
	Highest     tokenJSON     `json:"highest"`
	Slices      []ident.Slice `json:"slices,omitempty"`
	Until       int64         `json:"until"`
}

// Report is an upstream's own view of its load; it may be old or wrong.
type Report struct {
	Busy        int    `json:"busy"`
	Cold        bool   `json:"cold"`
	Incarnation string `json:"incarnation"`
}

// EncodeOrder writes an order.
func EncodeOrder(od grant.Order) ([]byte, error) {
	return json.Marshal(orderJSON{
		Pool:   string(od.Pool),
		Token:  tokenJSON(od.Token),
		Slices: od.Slices,
		Until:  int64(od.Until),
		Keep:   od.Keep,
	})
}

// DecodeOrder reads an order.
func DecodeOrder(data []byte) (grant.Order, error) {
	var oj orderJSON
	if err := json.Unmarshal(data, &oj); err != nil {
		return grant.Order{}, err
	}
	return grant.Order{
		Pool:   ident.Pool(oj.Pool),
		Token:  grant.Token(oj.Token),
		Slices: oj.Slices,
		Until:  clock.Instant(oj.Until),
		Keep:   oj.Keep,
	}, nil
}

// EncodeReply writes a reply.
func EncodeReply(rp grant.Reply) ([]byte, error) {
	return json.Marshal(replyJSON{
		Accepted:    rp.Accepted,
		Reading:     int64(rp.Reading),
		Incarnation: rp.Incarnation,
		Highest:     tokenJSON(rp.Highest),
		Slices:      rp.Slices,
		Until:       int64(rp.Until),
	})
}

// DecodeReply reads a reply.
func DecodeReply(data []byte) (grant.Reply, error) {
	var rj replyJSON
	if err := json.Unmarshal(data, &rj); err != nil {
		return grant.Reply{}, err
	}
	return grant.Reply{
		Accepted:    rj.Accepted,
		Reading:     clock.Instant(rj.Reading),
		Incarnation: rj.Incarnation,
		Highest:     grant.Token(rj.Highest),
		Slices:      rj.Slices,
		Until:       clock.Instant(rj.Until),
	}, nil
}

// FormatToken writes a token as it stands in TokenHeader.
func FormatToken(tk grant.Token) string {
	return fmt.Sprintf("%d.%d.%d", tk.Term, tk.Epoch, tk.Seq)
}

// ParseToken reads a token as FormatToken writes it.
func ParseToken(text string) (grant.Token, error) {
	var tk grant.Token
	if _, err := fmt.Sscanf(text, "%d.%d.%d", &tk.Term, &tk.Epoch, &tk.Seq); err != nil {
		return grant.Token{}, eris.Wrapf(err, "token %q", text)
	}
	return tk, nil
}
