// Package budget bounds the requests that the router adds to its callers': the
// retries and the hedges. The bound is a share of the traffic, so that extra
// load cannot grow while the upstreams fail.
//
//	bg := budget.New(0.04)
//	bg.Earn()
//	if bg.Spend() { /* send one more */ }
package budget

// maxSaved is how many extra requests quiet traffic may save up for a burst.
const maxSaved = 10

// Budget counts what may be added. The zero Budget allows nothing.
type Budget struct {
	share float64
	saved float64
}

// New makes a budget of a share of the traffic, from 0 to 1.
func New(share float64) Budget {
	return Budget{share: share}
}

// Earn counts one request of a caller.
func (bg *Budget) Earn() {
	bg.saved = min(bg.saved+bg.share, maxSaved)
}

// Spend takes one extra request; false when the budget is used up.
func (bg *Budget) Spend() bool {
	if bg.saved < 1 {
		return false
	}
	bg.saved--
	return true
}
