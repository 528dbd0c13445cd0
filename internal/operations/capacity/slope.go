// Package capacity measures how the cost of each role grows, and works out from
// the slopes what the design costs at its full size.
//
//	sl, err := capacity.Fit(probe, []int{1000, 2000, 5000, 10000})
//	lines := capacity.Project(slopes, capacity.LetterSize())
package capacity

import (
	"math"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// ErrTooFewSizes says that a slope needs at least minSizes sizes.
var ErrTooFewSizes = eris.New("capacity: a slope needs at least four sizes")

// minSizes is how many sizes a fit needs.
const minSizes = 4

// Name names a slope in the record and in the formulas of the page.
type Name string

// Probe measures one cost at a given size.
type Probe struct {
	Name Name
	// Unit is the unit of the cost, for instance "bytes" or "ns".
	Unit string
	// Per is what the size counts, for instance "slice" or "request".
	Per string
	// Role is the role whose cost it is.
	Role string
	// Sizes are the sizes of a full run, over at least one order of magnitude.
	Sizes []int
	// Measure returns the cost at one size. Counts are exact; times and
	// memory vary from run to run.
	Measure func(size int) (float64, error)
	// Exact tells that the cost is a count that is the same in every run.
	Exact bool
}

// Point is one measured cost.
type Point struct {
	Size int
	Cost float64
}

// Slope is the fitted growth of a cost: Intercept + Value × size.
type Slope struct {
	Name      Name
	Unit      string
	Per       string
	Role      string
	Value     float64
	Intercept float64
	// Residual is the root mean square of what the fit leaves, as a share of
	// the mean cost.
	Residual float64
	Points   []Point
	Exact    bool
}

// At returns the fitted cost at a size.
func (sl Slope) At(size float64) float64 {
	return sl.Intercept + sl.Value*size
}

// Fit measures a probe at all sizes and fits a line by least squares.
func Fit(pr Probe, sizes []int) (Slope, error) {
	if len(sizes) < minSizes {
		return Slope{}, ErrTooFewSizes
	}
	sl := Slope{Name: pr.Name, Unit: pr.Unit, Per: pr.Per, Role: pr.Role, Exact: pr.Exact}
	for _, size := range sizes {
		cost, err := pr.Measure(size)
		if err != nil {
			return Slope{}, eris.Wrapf(err, "slope %s at %d", pr.Name, size)
		}
		sl.Points = append(sl.Points, Point{Size: size, Cost: cost})
	}
	sl.fit()
	return sl, nil
}

func (sl *Slope) fit() {
	var xs, ys []float64
	for _, pt := range sl.Points {
		xs = append(xs, float64(pt.Size))
		ys = append(ys, pt.Cost)
	}
	sl.Intercept, sl.Value = stat.LinearRegression(xs, ys, nil, false)
	var squares float64
	for ix := range xs {
		left := ys[ix] - sl.At(xs[ix])
		squares += left * left
	}
	mean := stat.Mean(ys, nil)
	if mean != 0 {
		sl.Residual = math.Sqrt(squares/float64(len(xs))) / math.Abs(mean)
	}
}

// Find returns the slope of a name.
func Find(slopes []Slope, name Name) (Slope, bool) {
	ix := slices.IndexFunc(slopes, func(sl Slope) bool { return sl.Name == name })
	if ix < 0 {
		return Slope{}, false
	}
	return slopes[ix], true
}

// Refit fits a slope's points anew.
func Refit(sl Slope) Slope {
	sl.fit()
	return sl
}
