package deployment_test

import (
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
)

const (
	// stallInterval is the time between two looks at the clock.
	stallInterval = time.Millisecond
	// shortestStall is more than timers of an idle machine are late.
	shortestStall = 2 * time.Millisecond
	// shortestNetworkStall is more than the runtime takes to poll the network if all of its threads are busy.
	shortestNetworkStall = 50 * time.Millisecond
	// objective is that of the services.
	objective = 500 * time.Millisecond
)

// stalls records when goroutines that were due did not get to run. Hosts, upstreams and callers of
// a deployment share one process, so a host is not to blame for what took longer in that time.
type stalls struct {
	// shortest is the time of the shortest stall that counts.
	shortest time.Duration
	mu       sync.Mutex
	spans    []stall
}

// stall is a time in which the process did not get to run.
type stall struct{ from, to time.Time }

// watchStalls records until the test ends when timers were late.
func watchStalls(t *testing.T) *stalls {
	t.Helper()
	return watch(t, &stalls{shortest: shortestStall}, func() {})
}

// watchNetwork records until the test ends when timers or bytes were late. One thread at a time
// polls the network for the whole process: while it does not run nothing arrives anywhere, though
// timers go on.
func watchNetwork(t *testing.T) *stalls {
	t.Helper()
	gm := NewWithT(t)
	from, to, err := os.Pipe()
	gm.Expect(err).NotTo(HaveOccurred())
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		for {
			if _, err := from.Read(make([]byte, 1)); err != nil {
				return
			}
			arrived <- struct{}{}
		}
	}()
	t.Cleanup(func() {
		_, _ = from.Close(), to.Close()
		<-arrived
	})
	return watch(t, &stalls{shortest: shortestNetworkStall}, func() {
		if _, err := to.Write([]byte{0}); err == nil {
			<-arrived
		}
	})
}

// watch records until the test ends when wait, called in short intervals, returned late.
func watch(t *testing.T, st *stalls, wait func()) *stalls {
	t.Helper()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			due := time.Now().Add(stallInterval)
			select {
			case <-done:
				return
			case <-time.After(stallInterval):
			}
			wait()
			st.add(stall{due, time.Now()})
		}
	})
	t.Cleanup(func() {
		close(done)
		group.Wait()
	})
	return st
}

// add records a stall unless it is short.
func (st *stalls) add(sl stall) {
	if sl.to.Sub(sl.from) < st.shortest {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.spans = append(st.spans, sl)
}

// between returns how long the process was stalled between two times.
func (st *stalls) between(from, to time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	total := time.Duration(0)
	for _, sl := range st.spans {
		began, ended := sl.from, sl.to
		if began.Before(from) {
			began = from
		}
		if ended.After(to) {
			ended = to
		}
		total += max(ended.Sub(began), 0)
	}
	return total
}

// loadWithoutStalls sends requests of all kinds for some seconds, and again while some of them are not
// answered and the process has stalled for half of their objective: they come together then, upstreams seem
// slow and hosts silent. No guarantee may be violated in any case.
func loadWithoutStalls(t *testing.T, dp *deployment.Deployment, lg *logBuffer, st *stalls) deployment.Counts {
	t.Helper()
	gm, last := NewWithT(t), time.Now().Add(calmTime)
	for {
		began := time.Now()
		counts := dp.Load(t.Context(), 60, 4*time.Second)
		gm.Expect(counts.Broken()).To(BeFalse(), "%+v\n%s", counts, lg.String())
		stalled := st.between(began.Add(-settledTime), time.Now())
		if counts.Answered == counts.Requests || stalled < objective/2 || time.Now().After(last) {
			return counts
		}
		t.Logf("the process stalled for %s: %+v", stalled, counts)
		time.Sleep(settledTime)
	}
}

// TestStallsBetween guards against hosts that are excused by stalls at another time.
func TestStallsBetween(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	st := &stalls{shortest: shortestStall}
	for _, sl := range []stall{{at(100), at(150)}, {at(160), at(161)}, {at(200), at(300)}} {
		st.add(sl)
	}
	cases := map[string]struct{ from, to, stalled int }{
		"before all stalls":        {0, 100, 0},
		"beside a short one":       {155, 170, 0},
		"between two":              {165, 200, 0},
		"after all":                {300, 400, 0},
		"within one":               {220, 240, 20},
		"it begins within one":     {140, 180, 10},
		"it ends within one":       {155, 230, 30},
		"all of them":              {0, 400, 150},
		"no time between the two":  {220, 220, 0},
		"the end before the start": {240, 220, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(st.between(at(tc.from), at(tc.to))).To(Equal(time.Duration(tc.stalled) * time.Millisecond))
		})
	}
}
