// Package table is the interface to the platform's transactional table.
//
//	res := tb.Transact(ctx, table.Put("term/north", base, value))
//	if res.Outcome == table.Unknown { /* read the attempt id back */ }
package table

import "context"

// Version counts the changes of a row; 0 means that the row does not exist.
type Version uint64

// Row is one row of the table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Outcome tells what is known of an operation.
type Outcome int

const (
	// Unknown means that the operation may or may not have taken effect.
	Unknown Outcome = iota
	// Done means that the operation took effect.
	Done
	// Conflict means that a version differed and nothing was written.
	Conflict
	// Failed means that the operation surely had no effect.
	Failed
)

// String is the outcome's name in logs.
func (oc Outcome) String() string {
	return [...]string{"unknown", "done", "conflict", "failed"}[oc]
}

// Write is one row of a transaction: it takes effect only when the row still
// has the base version.
type Write struct {
	Key   string
	Base  Version
	Value []byte
}

// Result is the answer to a read or a transaction.
type Result struct {
	Outcome Outcome
	Rows    []Row
}

// Table is the platform's table service. Deadlines come with the context.
type Table interface {
	// Read returns the row, with version 0 when there is none.
	Read(ctx context.Context, key string) Result
	// ReadPrefix returns all rows whose key starts with the prefix.
	ReadPrefix(ctx context.Context, prefix string) Result
	// Transact compares all base versions, then writes all rows or none.
	Transact(ctx context.Context, writes ...Write) Result
}
