package upstream

import (
	"context"
	"time"
)

// defaultCold is how long a stand-in stays cold that was turned cold and has
// no cold start of its own.
const defaultCold = 2 * time.Second

// Faults are the ways in which the stand-in misbehaves. The zero value is a
// stand-in without faults.
type Faults struct {
	// SlowFactor multiplies the service time; 0 and 1 leave it.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed,omitempty"`
	// Frozen holds everything, the control endpoint too, until it is cleared.
	Frozen bool `json:"frozen,omitempty"`
	// Cold makes the stand-in cold from now on for its cold time, without a
	// new incarnation.
	Cold bool `json:"cold,omitempty"`
	// CrashWhenCold makes a stand-in that gets more than its cold limit start
	// anew, losing what runs, where it otherwise sheds.
	CrashWhenCold bool `json:"crashWhenCold,omitempty"`
	// LoseAnswers runs each request and closes the connection without an answer.
	LoseAnswers bool `json:"loseAnswers,omitempty"`
	// Cut ends every answer's body after CutBytes bytes by closing the connection.
	Cut      bool `json:"cut,omitempty"`
	CutBytes int  `json:"cutBytes,omitempty"`
	// Chunked sends bodies in chunks, without a length.
	Chunked bool `json:"chunked,omitempty"`
	// IgnoreCancel runs cancelled requests to their end.
	IgnoreCancel bool `json:"ignoreCancel,omitempty"`
	// ReportLagMillis makes the load report tell of that many milliseconds ago.
	ReportLagMillis int `json:"reportLagMillis,omitempty"`
	// FalseReport makes the load report say idle and warm, whatever is true.
	FalseReport bool `json:"falseReport,omitempty"`
}

// SetFaults replaces the faults.
func (us *Upstream) SetFaults(fa Faults) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.faults.Frozen && !fa.Frozen {
		close(us.thawed)
		us.thawed = make(chan struct{})
	}
	if fa.Frozen && !us.faults.Frozen {
		for rg := range us.running {
			rg.frozen = true
		}
	}
	if fa.Cold && !us.faults.Cold {
		us.coldUntil = us.clock.Now().Add(max(us.coldFor, defaultCold))
	}
	us.faults = fa
}

// Faults returns the faults that are set.
func (us *Upstream) Faults() Faults {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.faults
}

// waitThaw waits while the stand-in is frozen; false when the context ended.
func (us *Upstream) waitThaw(ctx context.Context) bool {
	for {
		us.mu.Lock()
		frozen, thawed := us.faults.Frozen, us.thawed
		us.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		}
	}
}
