// Package acceptance makes a signed bundle the accepted one. It writes the body
// to the object store and then updates the row that points at the accepted body
// by compare-and-set. If operators accept bundles at the same time, one wins. A
// run that is interrupted leaves the old or the new bundle accepted and can be
// repeated.
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

// retryDelay is how long Accept waits before it repeats a write that had no effect
// or whose outcome is unknown.
const retryDelay = 100 * time.Millisecond

// maxAcceptTime is how long Accept tries at most.
const maxAcceptTime = time.Minute

var (
	// ErrNoBundle means that no bundle was accepted yet.
	ErrNoBundle = eris.New("no bundle was accepted yet")
	// ErrStoreUnavailable means that the row could not be read from the platform's
	// store.
	ErrStoreUnavailable = eris.New("the platform's store does not answer")
	// ErrOutcomeUnknown means that the row may or may not have been written.
	ErrOutcomeUnknown = eris.New("it is not known whether the bundle was accepted; run the same command again")
	// ErrBadBody means that the accepted body is missing, cannot be read or has
	// another digest than the row.
	ErrBadBody = eris.New("the accepted bundle's body is missing or damaged in the object store")
)

// ConflictError means that another bundle was accepted first.
type ConflictError struct {
	// Version and Key are the accepted bundle's version and the name of the key
	// that signed it.
	Version bundle.Version
	Key     string
	// Tried is the version of the rejected bundle.
	Tried bundle.Version
}

// Error names the accepted bundle and says what to do.
func (er *ConflictError) Error() string {
	return fmt.Sprintf("conflict: bundle %d, signed with key %q, was accepted first; bundle %d was rejected: get the accepted bundle with bundle show and make version %d from it",
		er.Version, er.Key, er.Tried, er.Version+1)
}

// GapError means that a bundle skips the version after the accepted one.
type GapError struct{ Accepted, Tried bundle.Version }

// Error names the version that the bundle must have.
func (er *GapError) Error() string {
	return fmt.Sprintf("bundle %d is accepted, so the next one must state version: %d, not %d", er.Accepted, er.Accepted+1, er.Tried)
}

// Store holds the row that points at the accepted bundle, and the bodies of all
// bundles.
type Store interface {
	// Row returns the row's value and version. The version is 0 if there is no row.
	Row(ctx context.Context) ([]byte, platform.Version, error)
	// Replace writes the row if its version is still base (0 if there was no row)
	// and returns the new version.
	Replace(ctx context.Context, base platform.Version, value []byte) (platform.Outcome, platform.Version)
	// Put and Get write and read bodies by digest.
	Put(ctx context.Context, dg bundle.Digest, body []byte) error
	Get(ctx context.Context, dg bundle.Digest) ([]byte, error)
}

// Repository reads and replaces the accepted bundle of a store.
type Repository struct{ Store Store }

// Accepted is an accepted bundle with the version of the row that points at it.
type Accepted struct {
	RowVersion platform.Version
	Seal       bundle.Seal
	Bundle     *bundle.Bundle
}

// readPointer returns the row's version and content; the version is 0 if there
// is no row.
func (rp Repository) readPointer(ctx context.Context) (platform.Version, bundle.Pointer, error) {
	value, rowVersion, err := rp.Store.Row(ctx)
	if err != nil {
		return 0, bundle.Pointer{}, eris.Wrapf(ErrStoreUnavailable, "%v", err)
	}
	if rowVersion == 0 {
		return 0, bundle.Pointer{}, nil
	}
	pt, err := bundle.DecodePointer(value)
	return rowVersion, pt, err
}

// Current returns the accepted bundle, or ErrNoBundle, ErrStoreUnavailable or
// ErrBadBody. It checks the body's digest but not the signature: each host does
// that with the keys that it trusts.
func (rp Repository) Current(ctx context.Context) (Accepted, error) {
	rowVersion, pt, err := rp.readPointer(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if rowVersion == 0 {
		return Accepted{}, ErrNoBundle
	}
	sl, err := rp.Body(ctx, pt)
	if err != nil {
		return Accepted{}, err
	}
	bn, err := bundle.Parse("accepted", sl.Body)
	return Accepted{RowVersion: rowVersion, Seal: sl, Bundle: bn}, err
}

// Body reads the body that a pointer points at and checks its digest. It returns
// ErrBadBody if the body is missing, cannot be read or has another digest.
func (rp Repository) Body(ctx context.Context, pt bundle.Pointer) (bundle.Seal, error) {
	body, err := rp.Store.Get(ctx, pt.Digest)
	if err != nil {
		return bundle.Seal{}, eris.Wrapf(ErrBadBody, "bundle %d: %v", pt.Version, err)
	}
	if bundle.DigestOf(body) != pt.Digest {
		return bundle.Seal{}, eris.Wrapf(ErrBadBody, "bundle %d", pt.Version)
	}
	return pt.Seal(body), nil
}

// Accept makes a sealed bundle the accepted one. Accepting the accepted bundle
// again succeeds and only stores its body again. If another bundle was accepted
// first, the error is a *ConflictError; if a version is skipped, a *GapError. It
// repeats a write that had no effect or whose outcome is unknown until ctx ends, or
// for maxAcceptTime, and then returns ErrOutcomeUnknown.
func (rp Repository) Accept(ctx context.Context, sl bundle.Seal) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptTime)
	defer cancel()
	rowVersion, pt, err := rp.readPointer(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if rowVersion != 0 && pointsTo(pt, sl) {
		if err := rp.Store.Put(ctx, pt.Digest, sl.Body); err != nil {
			return Accepted{}, eris.Wrap(err, "the bundle is accepted, but its body could not be stored again")
		}
		return rp.Current(ctx)
	}
	ready, err := rp.prepare(ctx, rowVersion, pt, sl)
	if err != nil {
		return Accepted{}, err
	}
	if err := rp.Store.Put(ctx, bundle.DigestOf(ready.Seal.Body), ready.Seal.Body); err != nil {
		return Accepted{}, eris.Wrap(err, "nothing was accepted")
	}
	return rp.writePointer(ctx, ready, pt)
}

// pointsTo reports whether a pointer is that of a sealed bundle.
func pointsTo(pt bundle.Pointer, sl bundle.Seal) bool {
	return pt.Version == sl.Version && bytes.Equal(pt.Signature, sl.Signature)
}

// prepare checks a seal as the hosts will and adds its lineage.
func (rp Repository) prepare(ctx context.Context, rowVersion platform.Version, pt bundle.Pointer, sl bundle.Seal) (Accepted, error) {
	if rowVersion == 0 {
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
	return Accepted{RowVersion: rowVersion, Seal: bundle.ExtendLineage(base.Seal, base.Bundle, sl, bn), Bundle: bn}, nil
}

// prepareFirst checks the first bundle. There is no earlier one, so it must be
// signed with a key that it trusts itself.
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

// writePointer writes the row. If the write is not confirmed, it reads the row
// to find out whether this bundle or another one was accepted, and tries again
// if neither was.
func (rp Repository) writePointer(ctx context.Context, ac Accepted, from bundle.Pointer) (Accepted, error) {
	value, err := bundle.EncodePointer(bundle.PointerOf(ac.Seal))
	if err != nil {
		return Accepted{}, err
	}
	for {
		outcome, version := rp.Store.Replace(ctx, ac.RowVersion, value)
		if outcome == platform.Done {
			ac.RowVersion = version
			return ac, nil
		}
		rowVersion, pt, err := rp.readPointer(ctx)
		switch {
		case err != nil:
		case rowVersion != 0 && pointsTo(pt, ac.Seal):
			ac.RowVersion = rowVersion
			return ac, nil
		case pt.Version != from.Version || !bytes.Equal(pt.Signature, from.Signature):
			return Accepted{}, &ConflictError{Version: pt.Version, Key: pt.Key, Tried: ac.Seal.Version}
		default:
			ac.RowVersion = rowVersion
		}
		select {
		case <-ctx.Done():
			return Accepted{}, ErrOutcomeUnknown
		case <-time.After(retryDelay):
		}
	}
}
