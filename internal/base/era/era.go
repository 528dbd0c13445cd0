// Package era keeps numbers in order across the eras of the platform's store. The
// store begins a new era when it comes back from an older copy of itself: what was
// written since that copy is gone, and its versions are given out again. Numbers
// that must never go back, such as epochs, carry the era in their upper bits.
//
//	epoch = max(epoch, era.First[keyspace.Epoch](current)) + 1
//	era.Of(epoch) == current
package era

// Era counts how often the store has come back from an older copy.
type Era uint64

const (
	// counterBits is the width of the counter below the era in terms, revisions and
	// epochs. The whole stays below 2^53, so that JSON numbers hold it exactly.
	counterBits = 32
	// versionBits is the same for versions of the store, which count every write.
	versionBits = 44
	// maxBits is the width of a number with its era.
	maxBits = 53
)

// MaxCounter is the highest counter below the era that is accepted from elsewhere. As
// many are left for what follows, so that a counter never runs into the next era.
const MaxCounter = 1<<(counterBits-1) - 1

// InRange reports whether a number with its era leaves room for later ones.
func InRange[T ~uint64](number T) bool {
	return number < 1<<maxBits && number&(1<<counterBits-1) <= MaxCounter
}

// First returns the number below all those of an era.
func First[T ~uint64](er Era) T { return T(er) << counterBits }

// Of returns the era of a number.
func Of[T ~uint64](number T) Era { return Era(number >> counterBits) }

// Position returns the position of a version in an era of the store. Positions are
// ordered by era, then by version.
func Position[T ~uint64](er Era, version T) T { return T(er)<<versionBits | version }

// Split returns the era and the version of a position.
func Split[T ~uint64](position T) (Era, T) {
	return Era(position >> versionBits), position & (1<<versionBits - 1)
}
