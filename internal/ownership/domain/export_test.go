package domain

// BreakReleases makes a core that takes over without any release.
func BreakReleases(co *Core) {
	co.rules.quorum = func(others int) Quorum { return Quorum{Support: QuorumOf(others).Support} }
}

// BreakLapse makes a core that waits for no lease to end.
func BreakLapse(co *Core) {
	co.rules.termLease, co.rules.leaseTail = 0, 0
}

// BreakBound makes a core that releases while its last promise still counts.
func BreakBound(co *Core) {
	co.rules.bound = 0
}

// BreakWord makes a core that ends a lapse by promises alone.
func BreakWord(co *Core) {
	co.rules.restores = func(*peer) bool { return true }
}
