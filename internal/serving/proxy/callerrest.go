package proxy

import (
	"context"
	"sync/atomic"

	"chervilwalk/internal/serving/httpserver"
)

// callerRest is the rest of a request's body as an upstream gets it. It breaks off if the caller leaves
// before its end was read, so that no upstream gets the whole of a request that was taken back.
type callerRest struct {
	*httpserver.Body
	// ctx ends when the caller leaves.
	ctx context.Context
	// left reports whether it broke off for that.
	left atomic.Bool
}

// Read implements io.Reader.
func (cr *callerRest) Read(buf []byte) (int, error) {
	count, err := cr.Body.Read(buf)
	if cr.ctx.Err() == nil {
		return count, err
	}
	cr.left.Store(true)
	return 0, context.Cause(cr.ctx)
}

// Err returns the error with which the body broke off, or nil.
func (cr *callerRest) Err() error {
	if cr.left.Load() {
		return context.Cause(cr.ctx)
	}
	return cr.Body.Err()
}
