package drive

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

// maxHold is the bound max-hold-s in seconds.
const maxHold = 10

// Hold is the time for which an upstream holds keys by one grant. Life is the one in which it took
// it.
type Hold struct {
	Upstream    string
	Life        int
	From, To    int
	Fence       uint64
	At, Expires time.Time
}

// keyTable is what an upstream knows of its keys. A new life knows nothing.
type keyTable struct {
	mu        sync.Mutex
	life      int
	epochs    [KeyCount]uint64
	heldUntil [KeyCount]time.Time
	// holds are those of all lives; each is cut short where the keys are given up or the life ends.
	holds []Hold
}

// wireGrant is the body of a grant or a release.
type wireGrant struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
}

func decodeGrant(rw http.ResponseWriter, rq *http.Request) (wireGrant, bool) {
	var gt wireGrant
	if err := json.NewDecoder(rq.Body).Decode(&gt); err != nil || gt.From < 0 || gt.From > gt.To || gt.To >= KeyCount || gt.Hold > maxHold {
		rw.WriteHeader(http.StatusBadRequest)
		return gt, false
	}
	return gt, true
}

// grant takes keys, unless a higher epoch was seen on one of them.
func (up *Upstream) grant(rw http.ResponseWriter, rq *http.Request) {
	gt, ok := decodeGrant(rw, rq)
	if !ok {
		return
	}
	kt := &up.keys
	kt.mu.Lock()
	defer kt.mu.Unlock()
	for key := gt.From; key <= gt.To; key++ {
		if kt.epochs[key] > gt.Fence {
			rw.WriteHeader(http.StatusConflict)
			return
		}
	}
	now := time.Now()
	expires := now.Add(time.Duration(gt.Hold * float64(time.Second)))
	if kt.heldUntil[gt.From].Before(now) || kt.epochs[gt.From] != gt.Fence {
		up.record.Printf("%s life %d takes keys %d to %d with epoch %d", up.cf.ID, kt.life, gt.From, gt.To, gt.Fence)
	}
	kt.cut(gt.From, gt.To, now)
	for key := gt.From; key <= gt.To; key++ {
		kt.epochs[key], kt.heldUntil[key] = gt.Fence, expires
	}
	kt.holds = append(kt.holds, Hold{Upstream: up.cf.ID, Life: kt.life, From: gt.From, To: gt.To, Fence: gt.Fence, At: now, Expires: expires})
	rw.WriteHeader(http.StatusOK)
}

// release gives keys up and answers when the work that was running has ended.
func (up *Upstream) release(rw http.ResponseWriter, rq *http.Request) {
	gt, ok := decodeGrant(rw, rq)
	if !ok {
		return
	}
	if up.keys.giveUp(gt) {
		up.work.Lock()
		rw.Header().Set("Handover", fmt.Sprintf("%s-%d", up.cf.ID, gt.From))
		up.work.Unlock()
	}
	rw.WriteHeader(http.StatusOK)
}

// giveUp gives keys up. It returns false if a newer grant has replaced the one to be released.
func (kt *keyTable) giveUp(gt wireGrant) bool {
	kt.mu.Lock()
	defer kt.mu.Unlock()
	for key := gt.From; key <= gt.To; key++ {
		if kt.epochs[key] > gt.Fence {
			return false
		}
	}
	kt.cut(gt.From, gt.To, time.Now())
	for key := gt.From; key <= gt.To; key++ {
		kt.heldUntil[key] = time.Time{}
	}
	return true
}

// cut ends what is held of a range. What remains of a hold beside the range stays.
func (kt *keyTable) cut(from, to int, now time.Time) {
	for ix := len(kt.holds) - 1; ix >= 0; ix-- {
		ho := kt.holds[ix]
		if ho.Life != kt.life || ho.To < from || ho.From > to || !ho.Expires.After(now) {
			continue
		}
		kt.holds[ix].Expires = now
		if ho.From < from {
			left := ho
			left.To = from - 1
			kt.holds = append(kt.holds, left)
		}
		if ho.To > to {
			right := ho
			right.From = to + 1
			kt.holds = append(kt.holds, right)
		}
	}
}

// holdsKey reports whether a request's key is held.
func (up *Upstream) holdsKey(rq *http.Request) bool {
	key, err := strconv.Atoi(rq.Header.Get("Shard-Key"))
	if err != nil || key < 0 || key >= KeyCount {
		return false
	}
	up.keys.mu.Lock()
	defer up.keys.mu.Unlock()
	return time.Now().Before(up.keys.heldUntil[key])
}

// endLife ends all that the upstream holds and lets it know nothing of before.
func (kt *keyTable) endLife() {
	kt.mu.Lock()
	defer kt.mu.Unlock()
	kt.cut(0, KeyCount-1, time.Now())
	kt.life++
	kt.epochs, kt.heldUntil = [KeyCount]uint64{}, [KeyCount]time.Time{}
}

// Holds returns what the upstream has held so far, in all its lives.
func (up *Upstream) Holds() []Hold {
	up.keys.mu.Lock()
	defer up.keys.mu.Unlock()
	return append([]Hold(nil), up.keys.holds...)
}
