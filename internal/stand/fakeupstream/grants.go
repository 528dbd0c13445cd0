package fakeupstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// GrantChange records a grant or, if Released, a release of the keys from From
// to To, both inclusive.
type GrantChange struct {
	At time.Time
	// Until is when the grant expires.
	Until    time.Time
	From, To int
	Epoch    uint64
	Released bool
}

// GrantChanges returns the grants and releases so far, the oldest first.
func (up *Upstream) GrantChanges() []GrantChange {
	up.mu.Lock()
	defer up.mu.Unlock()
	return append([]GrantChange(nil), up.grantChanges...)
}

// HeldBy reports whether an upstream with these grants and releases, the oldest first, held the
// run's key when it started.
func (run Run) HeldBy(changes []GrantChange) bool {
	held := false
	for _, gc := range changes {
		if gc.At.After(run.At) {
			break
		}
		if gc.From <= run.Key && run.Key <= gc.To {
			held = !gc.Released && run.At.Before(gc.Until)
		}
	}
	return held
}

// grantBody is the body of a grant or release.
type grantBody struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
}

// handleGrant applies and answers a grant. A late grant is applied after two
// seconds and never answered.
func (up *Upstream) handleGrant(rw http.ResponseWriter, rq *http.Request) {
	var gb grantBody
	if err := json.NewDecoder(rq.Body).Decode(&gb); err != nil || gb.From < 0 || gb.To >= 1<<16 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	up.mu.Lock()
	late := up.random.Float64() < up.faults.LateGrants
	unresponsive := up.faults.Unresponsive
	up.mu.Unlock()
	if unresponsive {
		<-rq.Context().Done()
		return
	}
	if late {
		time.AfterFunc(2*time.Second, func() { up.applyGrant(gb, arrived) })
		<-rq.Context().Done()
		return
	}
	rw.WriteHeader(up.applyGrant(gb, arrived))
}

// applyGrant grants the keys, unless one of them has a higher epoch, and returns
// the HTTP status. The hold time counts from the arrival of the grant.
func (up *Upstream) applyGrant(gb grantBody, arrived time.Time) int {
	up.mu.Lock()
	defer up.mu.Unlock()
	for key := gb.From; key <= gb.To; key++ {
		if up.epochs[key] > gb.Fence {
			return http.StatusConflict
		}
	}
	until := arrived.Add(time.Duration(gb.Hold * float64(time.Second)))
	for key := gb.From; key <= gb.To; key++ {
		up.epochs[key], up.heldUntil[key] = gb.Fence, until
	}
	up.grantChanges = append(up.grantChanges, GrantChange{At: time.Now(), Until: until, From: gb.From, To: gb.To, Epoch: gb.Fence})
	return http.StatusOK
}

// handleRelease gives up the keys and answers when no request is running any more.
func (up *Upstream) handleRelease(rw http.ResponseWriter, rq *http.Request) {
	var gb grantBody
	if err := json.NewDecoder(rq.Body).Decode(&gb); err != nil || gb.From < 0 || gb.To >= 1<<16 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	up.mu.Lock()
	for key := gb.From; key <= gb.To; key++ {
		up.heldUntil[key] = time.Time{}
	}
	up.grantChanges = append(up.grantChanges, GrantChange{At: time.Now(), From: gb.From, To: gb.To, Epoch: gb.Fence, Released: true})
	for up.running > 0 {
		up.slotFreed.Wait()
	}
	up.mu.Unlock()
	rw.Header().Set("Handover", "warm")
	rw.WriteHeader(http.StatusOK)
}
