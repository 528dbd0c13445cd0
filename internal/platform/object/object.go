// Package object is the interface to the platform's object store.
//
//	dg := object.DigestOf(body)
//	err := st.Put(ctx, dg, body)
package object

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// ErrMissing says that the store holds no body of that digest.
var ErrMissing = errors.New("object store: no body of this digest")

// Digest is the SHA-256 of a body, in hex.
type Digest string

// DigestOf computes a body's digest.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Store keeps bodies by digest; a body never changes.
type Store interface {
	Put(ctx context.Context, dg Digest, body []byte) error
	Get(ctx context.Context, dg Digest) ([]byte, error)
}
