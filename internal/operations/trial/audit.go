package trial

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/verdict"
	"chervilwalk/internal/stand/upstream"
)

const (
	// maxLatency bounds what the histogram keeps.
	maxLatency = time.Minute
	// outGrace is how long after the acceptance of a bundle a domain that it
	// takes out may still get new work.
	outGrace = 4 * time.Second
)

// absence is a time in which a failure domain was out.
type absence struct {
	domain ident.Domain
	from   clock.Instant
	to     clock.Instant
}

// record is what the upstreams of a fleet recorded.
type record struct {
	runs    []upstream.Run
	tenures []upstream.Tenure
	cold    int
	slots   int
	dropped int
}

func collect(fl *Fleet) record {
	var rd record
	for _, us := range fl.Upstreams {
		rd.runs = append(rd.runs, us.Runs()...)
		rd.tenures = append(rd.tenures, us.Tenures()...)
		tt := us.Totals()
		rd.cold += tt.ColdViolations
		rd.slots += tt.SlotViolations
		rd.dropped += tt.Dropped
	}
	return rd
}

// Count compares what the callers got with what the upstreams recorded.
func (ld *Load) Count(out ...absence) Counts {
	rd := collect(ld.fleet)
	runs := map[ident.Request]int{}
	ct := Counts{ColdViolations: rd.cold, SlotViolations: rd.slots, RecordsDropped: rd.dropped}
	for _, rn := range rd.runs {
		runs[rn.Request]++
		if runs[rn.Request] > 1 && !ld.idempotent(rn.Pool, rn.Method) {
			ct.DoubleRuns++
		}
	}
	ct.DoubleOwners = doubleTenures(rd.tenures) + doubleService(rd.runs)
	ct.NewWorkAfterOut = ld.newWork(rd.runs, out)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ct.UnservedMsMax = unserved(ld.probes)
	hg := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, oc := range slices.Concat(ld.outcomes, ld.probes) {
		ct.add(oc, runs[oc.id])
		if oc.verdict == verdict.Ran {
			_ = hg.RecordValue(oc.took.Microseconds())
		}
	}
	ct.P50Ms = float64(hg.ValueAtQuantile(50)) / 1000
	ct.P99Ms = float64(hg.ValueAtQuantile(99)) / 1000
	return ct
}

func (ld *Load) idempotent(pl ident.Pool, method string) bool {
	for ix := range ld.services {
		if ld.services[ix].Name == pl.Service() {
			return ld.services[ix].Idempotent(method)
		}
	}
	return false
}

// ownedSlice is a slice of one service.
type ownedSlice struct {
	service ident.Service
	slice   string
}

// span is a time in which an upstream had to do with a slice.
type span struct {
	upstream ident.Upstream
	from     clock.Instant
	to       clock.Instant
}

// doubleTenures counts the times in which two upstreams owned a slice by a grant.
func doubleTenures(tenures []upstream.Tenure) int {
	bySlice := map[ownedSlice][]span{}
	for _, tn := range tenures {
		key := ownedSlice{tn.Pool.Service(), strconv.FormatUint(uint64(tn.Slice), 10)}
		bySlice[key] = append(bySlice[key], span{tn.Upstream, tn.From, tn.To})
	}
	return overlaps(bySlice)
}

// doubleService counts the requests for a slice that ran while another upstream
// ran one for the same slice. A run in which its upstream was frozen is left
// out: nothing reaches a frozen process.
func doubleService(runs []upstream.Run) int {
	bySlice := map[ownedSlice][]span{}
	for _, rn := range runs {
		if rn.Slice == "" || rn.Frozen || rn.Ended == 0 {
			continue
		}
		key := ownedSlice{rn.Pool.Service(), rn.Slice}
		bySlice[key] = append(bySlice[key], span{rn.Upstream, rn.Started, rn.Ended})
	}
	return overlaps(bySlice)
}

// overlaps counts the spans that begin while another upstream's span lasts.
func overlaps(bySlice map[ownedSlice][]span) int {
	count := 0
	for _, spans := range bySlice {
		slices.SortFunc(spans, func(left, right span) int { return cmp.Compare(left.from, right.from) })
		latest := map[ident.Upstream]clock.Instant{}
		for _, sp := range spans {
			for other, to := range latest {
				if other != sp.upstream && sp.from.Before(to) {
					count++
				}
			}
			latest[sp.upstream] = max(latest[sp.upstream], sp.to)
		}
	}
	return count
}

// newWork counts the requests that began in a domain well after it was taken out.
func (ld *Load) newWork(runs []upstream.Run, out []absence) int {
	domains := map[ident.Upstream]ident.Domain{}
	for _, sv := range ld.services {
		for _, up := range sv.Upstreams {
			domains[up.Name] = up.Domain
		}
	}
	count := 0
	for _, rn := range runs {
		for _, ab := range out {
			late := ab.from.Add(outGrace).Before(rn.Started) && rn.Started.Before(ab.to)
			if domains[rn.Upstream] == ab.domain && late {
				count++
			}
		}
	}
	return count
}

// unserved is the longest time between two answers for a probed key, in
// milliseconds, less the pause between two requests.
func unserved(probes []outcome) int64 {
	latest := map[string]time.Time{}
	var longest time.Duration
	ended := slices.SortedFunc(slices.Values(probes), func(left, right outcome) int { return left.ended.Compare(right.ended) })
	for _, oc := range ended {
		if oc.verdict != verdict.Ran {
			continue
		}
		if before, ok := latest[oc.key]; ok {
			longest = max(longest, oc.ended.Sub(before)-probeEvery)
		}
		latest[oc.key] = oc.ended
	}
	if len(ended) > 0 {
		end := ended[len(ended)-1].ended
		for _, before := range latest {
			longest = max(longest, end.Sub(before)-2*probeEvery)
		}
	}
	return longest.Milliseconds()
}
