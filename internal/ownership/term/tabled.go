package term

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/table"
)

// Tabled returns the end of the right that the row alone gives this leader, and
// the row's version.
func (co *Core) Tabled() (clock.Instant, table.Version) {
	if co.lead == nil || !co.lead.known {
		return 0, 0
	}
	return co.lead.tableUntil, co.lead.version
}

// Fence is the row that ends a domain's term on behalf of another domain. It
// names no host, so that the domain's hosts elect anew once it has stood for a
// lease; the attempt tells who wrote it.
func Fence(old Row, attempt string) Row {
	return Row{Term: old.Term + 1, Counter: old.Counter + 1, Attempt: Attempt{Host: ident.Host(attempt)}}
}

// FencedBy returns the attempt of a fence; empty for any other row.
func (rw Row) FencedBy() string {
	if rw.Host != "" || rw.Resigned {
		return ""
	}
	return string(rw.Attempt.Host)
}
