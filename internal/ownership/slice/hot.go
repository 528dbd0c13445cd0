package slice

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
)

const (
	// sketchKeys bounds the keys that a Hot counts at a time.
	sketchKeys = 512
	// maxHot bounds the keys with an owner of their own in one pool.
	maxHot = 64
	// halfLife is the time in which a past request loses half of its weight.
	halfLife = 15 * time.Second
	// maxAge is how old the landmark of a decayed scale grows before all counts
	// are written anew, so that they stay within the range of a float.
	maxAge = 64 * halfLife
	// hotShare is the part of an upstream's even share of the load that makes a
	// key hot; coolShare is the part below which it returns to its slice.
	hotShare  = 0.20
	coolShare = 0.08
	// leastRequests is the decayed count below which nothing is hot.
	leastRequests = 200
)

// scale is a forward decay: an event counts 2^(age of the landmark ÷ halfLife),
// so that stored counts never change by themselves and keep their order.
type scale struct {
	landmark clock.Instant
}

// factor is what one event counts now.
func (sc scale) factor(now clock.Instant) float64 {
	return math.Exp2(float64(now.Sub(sc.landmark)) / float64(halfLife))
}

// counter is one key of the sketch.
type counter[K cmp.Ordered] struct {
	key K
	// count and excess are on the sketch's scale; the excess may belong to keys
	// that were dropped.
	count  float64
	excess float64
	place  int
}

// Hot finds the keys with the most requests in bounded memory, by a
// space-saving list whose counts halve in every half-life. A key that has more
// than 1/sketchKeys of the decayed load is always in the list.
type Hot[K cmp.Ordered] struct {
	scale    scale
	counters map[K]*counter[K]
	least    counterHeap[K]
	total    float64
	hot      map[K]bool
}

// NewHot makes an empty sketch.
func NewHot[K cmp.Ordered]() *Hot[K] {
	return &Hot[K]{counters: map[K]*counter[K]{}, hot: map[K]bool{}}
}

// Observe counts requests for a key.
func (ho *Hot[K]) Observe(now clock.Instant, key K, requests float64) {
	ho.rescale(now)
	count := requests * ho.scale.factor(now)
	ho.total += count
	ct := ho.counters[key]
	if ct == nil {
		ct = ho.admit(key)
	}
	ct.count += count
	heap.Fix(&ho.least, ct.place)
}

// admit makes a counter for a key, in the place of the least one when full.
func (ho *Hot[K]) admit(key K) *counter[K] {
	ct := &counter[K]{key: key}
	if len(ho.least) >= sketchKeys {
		dropped := ho.least[0]
		delete(ho.counters, dropped.key)
		ct.count, ct.excess = dropped.count, dropped.count
		ho.least[0] = ct
	} else {
		heap.Push(&ho.least, ct)
	}
	ho.counters[key] = ct
	return ct
}

// rescale moves the landmark up before the counts grow too large.
func (ho *Hot[K]) rescale(now clock.Instant) {
	if now.Sub(ho.scale.landmark) < maxAge {
		return
	}
	factor := ho.scale.factor(now)
	ho.scale.landmark = now
	ho.total /= factor
	for _, ct := range ho.counters {
		ct.count /= factor
		ct.excess /= factor
	}
}

// Load returns the decayed requests that surely were for the key.
func (ho *Hot[K]) Load(now clock.Instant, key K) float64 {
	ct := ho.counters[key]
	if ct == nil {
		return 0
	}
	return (ct.count - ct.excess) / ho.scale.factor(now)
}

// Total returns the decayed requests for all keys.
func (ho *Hot[K]) Total(now clock.Instant) float64 {
	return ho.total / ho.scale.factor(now)
}

// Keys returns the hot keys of a pool with this many upstreams, hottest first.
// A key stays hot until it has cooled well below what made it hot.
func (ho *Hot[K]) Keys(now clock.Instant, upstreams int) []K {
	even := ho.Total(now) / float64(max(upstreams, 1))
	busy := ho.Total(now) >= leastRequests
	var found []K
	for key := range ho.counters {
		load := ho.Load(now, key)
		if (busy && load >= hotShare*even) || (ho.hot[key] && load >= coolShare*even) {
			found = append(found, key)
		}
	}
	slices.SortFunc(found, func(left, right K) int {
		return cmp.Or(cmp.Compare(ho.Load(now, right), ho.Load(now, left)), cmp.Compare(left, right))
	})
	found = found[:min(len(found), maxHot)]
	clear(ho.hot)
	for _, key := range found {
		ho.hot[key] = true
	}
	return found
}

// Meter is one decayed count.
type Meter struct {
	value float64
	at    clock.Instant
}

// Add counts events at an instant.
func (me *Meter) Add(now clock.Instant, events float64) {
	me.value = me.Value(now) + events
	me.at = now
}

// Value returns the decayed count.
func (me *Meter) Value(now clock.Instant) float64 {
	return me.value * math.Exp2(-float64(now.Sub(me.at))/float64(halfLife))
}

// counterHeap holds the counters, the least first.
type counterHeap[K cmp.Ordered] []*counter[K]

// Len returns the number of counters.
func (ch counterHeap[K]) Len() int { return len(ch) }

// Less orders by count, then by key.
func (ch counterHeap[K]) Less(left, right int) bool {
	return cmp.Or(cmp.Compare(ch[left].count, ch[right].count), cmp.Compare(ch[left].key, ch[right].key)) < 0
}

// Swap exchanges two places.
func (ch counterHeap[K]) Swap(left, right int) {
	ch[left], ch[right] = ch[right], ch[left]
	ch[left].place, ch[right].place = left, right
}

// Push is part of heap.Interface.
func (ch *counterHeap[K]) Push(item any) {
	ct, _ := item.(*counter[K])
	ct.place = len(*ch)
	*ch = append(*ch, ct)
}

// Pop is part of heap.Interface; the sketch replaces counters and never pops.
func (ch *counterHeap[K]) Pop() any {
	last := len(*ch) - 1
	ct := (*ch)[last]
	*ch = (*ch)[:last]
	return ct
}
