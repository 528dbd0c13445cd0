// Package acceptance makes a signed bundle the accepted one: its body goes into
// the object store, then the table's row is pointed at it by compare-and-set.
// Of operators who race, one wins; a run that is cut short leaves either the
// old bundle or the new one, and can be run again.
//
//	rp := acceptance.NewRepository(platform.NewStore("10.0.0.9:8541", observe))
//	ac, err := rp.Accept(ctx, seal)
package acceptance

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/platform"
)

// retryPause is the time between two tries of a write that had no effect or
// whose answer was lost.
const retryPause = 100 * time.Millisecond

var (
	// ErrNone says that no bundle was accepted yet.
	ErrNone = eris.New("no bundle was accepted yet")
	// ErrSilent says that the platform's store did not answer.
	ErrSilent = eris.New("the platform's store does not answer")
	// ErrDoubt says that it is not known whether the row was written.
	ErrDoubt = eris.New("it is not known whether the bundle was accepted; run the same command again")
	// ErrBody says that an accepted body is missing or not what was accepted.
	ErrBody = eris.New("the accepted bundle's body is missing or damaged in the object store")
)

// ConflictError says that another bundle was accepted first.
type ConflictError struct {
	// Version and Key are those of the bundle that won.
	Version bundle.Version
	Key     string
	// Tried is the version that lost.
	Tried bundle.Version
}

// Error names what won and what to do.
func (er *ConflictError) Error() string {
	return fmt.Sprintf("conflict: bundle %d, signed with key %q, was accepted first; bundle %d was not: make version %d from it (bundle show)",
		er.Version, er.Key, er.Tried, er.Version+1)
}

// GapError says that a bundle was not made from the accepted one.
type GapError struct{ Accepted, Tried bundle.Version }

// Error names the version to write.
func (er *GapError) Error() string {
	return fmt.Sprintf("bundle %d is the accepted one, so the next must state version: %d, not %d", er.Accepted, er.Accepted+1, er.Tried)
}

// Store keeps the row of the accepted bundle and the bodies of all.
type Store interface {
	// Row returns the row's value and version, 0 where there is none.
	Row(ctx context.Context) ([]byte, platform.Version, error)
	// Replace writes the row if it still has a version.
	Replace(ctx context.Context, base platform.Version, value []byte) (platform.Outcome, platform.Version)
	// Put and Get keep bodies by digest.
	Put(ctx context.Context, dg bundle.Digest, body []byte) error
	Get(ctx context.Context, dg bundle.Digest) ([]byte, error)
}

// Repository is where bundles are accepted.
type Repository struct{ Store Store }

// Accepted is the accepted bundle with the row that points at it.
type Accepted struct {
	Row    platform.Version
	Seal   bundle.Seal
	Bundle *bundle.Bundle
}

// pointer reads the row; version 0 when there is none.
func (rp Repository) pointer(ctx context.Context) (platform.Version, bundle.Pointer, error) {
	value, row, err := rp.Store.Row(ctx)
	if err != nil {
		return 0, bundle.Pointer{}, eris.Wrapf(ErrSilent, "%v", err)
	}
	if row == 0 {
		return 0, bundle.Pointer{}, nil
	}
	pt, err := bundle.DecodePointer(value)
	return row, pt, err
}

// Current returns the accepted bundle, or ErrNone. Its body is checked against
// the row's digest; whether its signer is trusted is for the nodes to say.
func (rp Repository) Current(ctx context.Context) (Accepted, error) {
	row, pt, err := rp.pointer(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if row == 0 {
		return Accepted{}, ErrNone
	}
	sl, err := rp.Body(ctx, pt)
	if err != nil {
		return Accepted{}, err
	}
	bn, err := bundle.Parse("accepted", sl.Body)
	return Accepted{Row: row, Seal: sl, Bundle: bn}, err
}

// Body fetches what a pointer points at and checks its digest.
func (rp Repository) Body(ctx context.Context, pt bundle.Pointer) (bundle.Seal, error) {
	body, err := rp.Store.Get(ctx, pt.Digest)
	if err != nil {
		return bundle.Seal{}, eris.Wrapf(ErrBody, "bundle %d: %v", pt.Version, err)
	}
	if bundle.DigestOf(body) != pt.Digest {
		return bundle.Seal{}, eris.Wrapf(ErrBody, "bundle %d", pt.Version)
	}
	return pt.Seal(body), nil
}

// Accept makes a sealed bundle the accepted one. Accepting the accepted bundle
// again succeeds and changes nothing.
func (rp Repository) Accept(ctx context.Context, sl bundle.Seal) (Accepted, error) {
	row, pt, err := rp.pointer(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if row != 0 && isOurs(pt, sl) {
		if err := rp.Store.Put(ctx, pt.Digest, sl.Body); err != nil {
			return Accepted{}, eris.Wrap(err, "the bundle is accepted, but its body cannot be checked")
		}
		return rp.Current(ctx)
	}
	ready, err := rp.prepare(ctx, row, pt, sl)
	if err != nil {
		return Accepted{}, err
	}
	if err := rp.Store.Put(ctx, bundle.DigestOf(ready.Seal.Body), ready.Seal.Body); err != nil {
		return Accepted{}, eris.Wrap(err, "nothing was accepted")
	}
	return rp.point(ctx, ready, pt)
}

func isOurs(pt bundle.Pointer, sl bundle.Seal) bool {
	return pt.Version == sl.Version && bytes.Equal(pt.Signature, sl.Signature)
}

// prepare checks a seal as the nodes will, and gives it its lineage.
func (rp Repository) prepare(ctx context.Context, row platform.Version, pt bundle.Pointer, sl bundle.Seal) (Accepted, error) {
	if row == 0 {
		return rp.prepareFirst(sl)
	}
	switch {
	case sl.Version <= pt.Version:
		return Accepted{}, &ConflictError{Version: pt.Version, Key: pt.Key, Tried: sl.Version}
	case sl.Version > pt.Version+1:
		return Accepted{}, &GapError{Accepted: pt.Version, Tried: sl.Version}
	}
	base, err := rp.Current(ctx)
	if err != nil {
		return Accepted{}, err
	}
	bn, err := bundle.Open(sl, bundle.TrustOf(base.Bundle))
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Row: row, Seal: bundle.Succeed(base.Seal, base.Bundle, sl, bn), Bundle: bn}, nil
}

// prepareFirst checks the first bundle of a fleet against its own keys.
func (rp Repository) prepareFirst(sl bundle.Seal) (Accepted, error) {
	bn, err := bundle.Parse("first", sl.Body)
	if err != nil {
		return Accepted{}, err
	}
	if len(bn.TrustedKeys) == 0 {
		return Accepted{}, bundle.ErrKeyless
	}
	_, err = bundle.Open(sl, bundle.Trust{Keys: bn.TrustedKeys})
	return Accepted{Seal: sl, Bundle: bn}, err
}

// point writes the row, and settles a lost answer by reading it again.
func (rp Repository) point(ctx context.Context, ac Accepted, from bundle.Pointer) (Accepted, error) {
	value, err := bundle.EncodePointer(bundle.PointerOf(ac.Seal))
	if err != nil {
		return Accepted{}, err
	}
	for {
		outcome, version := rp.Store.Replace(ctx, ac.Row, value)
		if outcome == platform.Done {
			ac.Row = version
			return ac, nil
		}
		row, pt, err := rp.pointer(ctx)
		switch {
		case err != nil:
		case row != 0 && isOurs(pt, ac.Seal):
			ac.Row = row
			return ac, nil
		case pt.Version != from.Version || !bytes.Equal(pt.Signature, from.Signature):
			return Accepted{}, &ConflictError{Version: pt.Version, Key: pt.Key, Tried: ac.Seal.Version}
		default:
			ac.Row = row
		}
		select {
		case <-ctx.Done():
			return Accepted{}, ErrDoubt
		case <-time.After(retryPause):
		}
	}
}
