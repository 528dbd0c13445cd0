package capacity

import (
	"github.com/rotisserie/eris"
)

// ErrNoSlope says that the record lacks a slope that the page counts with.
var ErrNoSlope = eris.New("capacity: the record lacks a slope")

// tally works out lines from slopes and remembers the first that is missing.
type tally struct {
	slopes  []Slope
	size    Size
	as      Assumptions
	de      Derived
	missing Name
}

// Project works out every line of the page.
func Project(slopes []Slope, sz Size, as Assumptions) ([]Line, error) {
	ta := &tally{slopes: slopes, size: sz, as: as, de: Derive(sz, as)}
	var lines []Line
	for _, part := range []func() []Line{ta.entryLines, ta.holderLines, ta.bundleLines} {
		lines = append(lines, part()...)
	}
	if ta.missing != "" {
		return nil, eris.Wrap(ErrNoSlope, string(ta.missing))
	}
	return lines, nil
}

// per returns a slope's value; a missing one is remembered.
func (ta *tally) per(name Name) float64 {
	return ta.find(name).Value
}

// at returns the fitted cost at a size.
func (ta *tally) at(name Name, size float64) float64 {
	return ta.find(name).At(size)
}

func (ta *tally) find(name Name) Slope {
	sl, ok := Find(ta.slopes, name)
	if !ok && ta.missing == "" {
		ta.missing = name
	}
	return sl
}

const (
	nanosPerSecond = 1e9
	secondsPerDay  = 24 * 3600
)
