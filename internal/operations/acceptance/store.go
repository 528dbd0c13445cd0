package acceptance

import (
	"context"
	"time"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/platform"
)

// Table holds the row of the accepted bundle. It is a table of its own, so that
// a watch of it returns only when a bundle is accepted.
const Table = "chervilwalkBundle"

// callTime bounds a call where the context sets no deadline.
const callTime = 5 * time.Second

// rows keeps bundles in the platform's store.
type rows struct{ store *platform.Store }

// NewRepository is the shelf in a platform's store.
func NewRepository(db *platform.Store) Repository { return Repository{Store: rows{db}} }

// Row implements Store.
func (rs rows) Row(ctx context.Context) ([]byte, platform.Version, error) {
	found, _, err := rs.store.Read(Table, "", deadline(ctx))
	if err != nil {
		return nil, 0, err
	}
	for _, rw := range found {
		if rw.Key == bundle.RowKey {
			return rw.Value, rw.Version, nil
		}
	}
	return nil, 0, nil
}

// Replace implements Store. What the outcome leaves open is read again by the
// caller, so the error that comes with it adds nothing.
func (rs rows) Replace(ctx context.Context, base platform.Version, value []byte) (platform.Outcome, platform.Version) {
	outcome, version, _ := rs.store.Commit(platform.Transaction{
		Expect: []platform.Expected{{Table: Table, Key: bundle.RowKey, Version: base}},
		Puts:   []platform.Row{{Table: Table, Key: bundle.RowKey, Value: value}},
	}, deadline(ctx))
	return outcome, version
}

// Put implements Store.
func (rs rows) Put(ctx context.Context, dg bundle.Digest, body []byte) error {
	return rs.store.PutObject(string(dg), body, deadline(ctx))
}

// Get implements Store.
func (rs rows) Get(ctx context.Context, dg bundle.Digest) ([]byte, error) {
	return rs.store.GetObject(string(dg), deadline(ctx))
}

func deadline(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return time.Now().Add(callTime)
}
