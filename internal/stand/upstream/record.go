package upstream

import (
	"slices"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
)

const (
	// maxRuns bounds the runs that one stand-in keeps, in requests.
	maxRuns = 1 << 16
	// maxTenures bounds the tenures that one stand-in keeps.
	maxTenures = 1 << 16
)

// Run is one request that the stand-in ran. Instants are on the host's clock
// and so comparable between the stand-ins of one host.
type Run struct {
	Upstream ident.Upstream
	Request  ident.Request
	Pool     ident.Pool
	// Slice is the number in the request's header; empty for unkeyed services.
	Slice  string
	Method string
	// Token is the token as it came with the request.
	Token   string
	Started clock.Instant
	// Ended is zero while the request runs.
	Ended clock.Instant
	// Frozen says that the stand-in froze while the request ran.
	Frozen bool
}

// Tenure is a time in which the stand-in owned a slice by a grant.
type Tenure struct {
	Upstream ident.Upstream
	Pool     ident.Pool
	Slice    ident.Slice
	From     clock.Instant
	To       clock.Instant
}

// Totals are the figures that a stand-in shows of itself.
type Totals struct {
	Runs           int    `json:"runs"`
	Busy           int    `json:"busy"`
	Peak           int    `json:"peak"`
	Refused        int    `json:"refused"`
	SlotViolations int    `json:"slotViolations"`
	ColdViolations int    `json:"coldViolations"`
	Dropped        int    `json:"dropped"`
	Incarnation    string `json:"incarnation"`
}

// record is what a stand-in keeps of the past. It grows up to its bounds, and
// counts what it no longer keeps.
type record struct {
	runs           []Run
	tenures        []Tenure
	ran            int
	peak           int
	refused        int
	slotViolations int
	coldViolations int
	dropped        int
}

// begin keeps a run and returns its place, or -1 when the record is full.
func (rd *record) begin(rn Run, busy int) int {
	rd.ran++
	rd.peak = max(rd.peak, busy)
	if len(rd.runs) >= maxRuns {
		rd.dropped++
		return -1
	}
	rd.runs = append(rd.runs, rn)
	return len(rd.runs) - 1
}

func (rd *record) end(place int, now clock.Instant, frozen bool) {
	if place < 0 {
		return
	}
	rd.runs[place].Ended = now
	rd.runs[place].Frozen = frozen
}

func (rd *record) keep(tenures []Tenure) {
	room := max(0, maxTenures-len(rd.tenures))
	rd.dropped += max(0, len(tenures)-room)
	rd.tenures = append(rd.tenures, tenures[:min(room, len(tenures))]...)
}

// Runs returns what was run so far.
func (us *Upstream) Runs() []Run {
	us.mu.Lock()
	defer us.mu.Unlock()
	return slices.Clone(us.record.runs)
}

// Tenures returns which slices were owned when; those that last end now.
func (us *Upstream) Tenures() []Tenure {
	us.mu.Lock()
	defer us.mu.Unlock()
	list := slices.Clone(us.record.tenures)
	now := us.clock.Now()
	for _, ho := range us.holdings {
		list = append(list, ho.end(us.name, now)...)
	}
	return list
}

// Totals returns the figures.
func (us *Upstream) Totals() Totals {
	us.mu.Lock()
	defer us.mu.Unlock()
	return Totals{
		Runs:           us.record.ran,
		Busy:           len(us.running),
		Peak:           us.record.peak,
		Refused:        us.record.refused,
		SlotViolations: us.record.slotViolations,
		ColdViolations: us.record.coldViolations,
		Dropped:        us.record.dropped,
		Incarnation:    us.incarnationName(),
	}
}

// Peak returns the highest number of requests that were served at a time.
func (us *Upstream) Peak() int {
	return us.Totals().Peak
}
