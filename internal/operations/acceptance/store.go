package acceptance

import (
	"context"
	"time"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/platform"
)

// Table is the table with the row of the accepted bundle. It holds nothing else,
// so that a watch of it returns only when a bundle is accepted.
const Table = "chervilwalkBundle"

// defaultCallTimeout is the timeout of a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// platformStore implements Store with the platform's store.
type platformStore struct{ store *platform.Store }

// NewRepository returns the repository in a platform's store.
func NewRepository(db *platform.Store) Repository { return Repository{Store: platformStore{db}} }

// Row implements Store.
func (ps platformStore) Row(ctx context.Context) ([]byte, platform.Version, error) {
	found, _, err := ps.store.Read(Table, "", deadline(ctx))
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

// Replace implements Store. It drops the error of the commit, because its caller
// reads the row again after every outcome but Done.
func (ps platformStore) Replace(ctx context.Context, base platform.Version, value []byte) (platform.Outcome, platform.Version) {
	outcome, version, _ := ps.store.Commit(platform.Transaction{
		Expect: []platform.Expected{{Table: Table, Key: bundle.RowKey, Version: base}},
		Puts:   []platform.Row{{Table: Table, Key: bundle.RowKey, Value: value}},
	}, deadline(ctx))
	return outcome, version
}

// Put implements Store.
func (ps platformStore) Put(ctx context.Context, dg bundle.Digest, body []byte) error {
	return ps.store.PutObject(string(dg), body, deadline(ctx))
}

// Get implements Store.
func (ps platformStore) Get(ctx context.Context, dg bundle.Digest) ([]byte, error) {
	return ps.store.GetObject(string(dg), deadline(ctx))
}

// deadline returns the context's deadline, or the default one.
func deadline(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return time.Now().Add(defaultCallTimeout)
}
