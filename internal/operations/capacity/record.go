package capacity

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

type slopeJSON struct {
	Name      string      `json:"name"`
	Role      string      `json:"role"`
	Unit      string      `json:"unit"`
	Per       string      `json:"per"`
	Value     float64     `json:"value"`
	Intercept float64     `json:"intercept"`
	Residual  float64     `json:"residual"`
	Exact     bool        `json:"exact,omitempty"`
	Points    []pointJSON `json:"points"`
}

type pointJSON struct {
	Size int     `json:"size"`
	Cost float64 `json:"cost"`
}

type recordJSON struct {
	Slopes []slopeJSON `json:"slopes"`
}

// Encode writes slopes as one line of JSON.
func Encode(list []Slope) ([]byte, error) {
	var rj recordJSON
	for _, sl := range list {
		sj := slopeJSON{
			Name: string(sl.Name), Role: sl.Role, Unit: sl.Unit, Per: sl.Per, Value: sl.Value,
			Intercept: sl.Intercept, Residual: sl.Residual, Exact: sl.Exact,
		}
		for _, pt := range sl.Points {
			sj.Points = append(sj.Points, pointJSON(pt))
		}
		rj.Slopes = append(rj.Slopes, sj)
	}
	return json.Marshal(rj)
}

// Decode reads slopes as Encode writes them.
func Decode(data []byte) ([]Slope, error) {
	var rj recordJSON
	if err := json.Unmarshal(data, &rj); err != nil {
		return nil, eris.Wrap(err, "capacity: record")
	}
	var list []Slope
	for _, sj := range rj.Slopes {
		sl := Slope{
			Name: Name(sj.Name), Role: sj.Role, Unit: sj.Unit, Per: sj.Per, Value: sj.Value,
			Intercept: sj.Intercept, Residual: sj.Residual, Exact: sj.Exact,
		}
		for _, pj := range sj.Points {
			sl.Points = append(sl.Points, Point(pj))
		}
		list = append(list, sl)
	}
	return list, nil
}

// Probes lists all probes.
func Probes() []Probe {
	return slices.Concat(servingProbes(), controlProbes(), beatProbes(), ownershipProbes(), bundleProbes())
}

// Measure fits every probe, at its sizes divided by shrink.
func Measure(shrink int) ([]Slope, error) {
	var list []Slope
	for _, pr := range Probes() {
		sizes := make([]int, 0, len(pr.Sizes))
		for _, size := range pr.Sizes {
			sizes = append(sizes, max(1, size/max(1, shrink)))
		}
		sl, err := Fit(pr, sizes)
		if err != nil {
			return nil, err
		}
		list = append(list, sl)
	}
	return list, nil
}
