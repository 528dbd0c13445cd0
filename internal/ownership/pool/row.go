package pool

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"chervilwalk/internal/fleet/ident"
)

// RowPrefix starts the table keys of the pools' rows.
const RowPrefix = "pool/"

// RowKey is the table key of a pool's row.
func RowKey(pl ident.Pool) string {
	return RowPrefix + string(pl)
}

// Row is the content of a pool's row: which upstream owns which slice.
type Row struct {
	Term  uint64
	Epoch uint64
	// Number counts the states of one holder; with the holder's term and epoch
	// it also tells whether a write whose answer was lost took effect.
	Number uint64
	Holder ident.Host
	Owners map[ident.Slice]ident.Upstream
	// Hot are the keys that have an owner of their own.
	Hot map[ident.Key]ident.Upstream
}

// Compare orders rows by term, then epoch, then number.
func (rw Row) Compare(other Row) int {
	return cmp.Or(
		cmp.Compare(rw.Term, other.Term),
		cmp.Compare(rw.Epoch, other.Epoch),
		cmp.Compare(rw.Number, other.Number),
	)
}

type rowJSON struct {
	Term      uint64            `json:"term"`
	Epoch     uint64            `json:"epoch"`
	Number    uint64            `json:"number"`
	Holder    string            `json:"holder"`
	Upstreams []ident.Upstream  `json:"upstreams,omitempty"`
	Slices    [][]ident.Slice   `json:"slices,omitempty"`
	Hot       map[string]string `json:"hot,omitempty"`
}

// EncodeRow writes a row's value.
func EncodeRow(rw Row) []byte {
	rj := rowJSON{Term: rw.Term, Epoch: rw.Epoch, Number: rw.Number, Holder: string(rw.Holder)}
	owned := map[ident.Upstream][]ident.Slice{}
	for _, sl := range slices.Sorted(maps.Keys(rw.Owners)) {
		owned[rw.Owners[sl]] = append(owned[rw.Owners[sl]], sl)
	}
	for _, up := range slices.Sorted(maps.Keys(owned)) {
		rj.Upstreams = append(rj.Upstreams, up)
		rj.Slices = append(rj.Slices, owned[up])
	}
	if len(rw.Hot) > 0 {
		rj.Hot = map[string]string{}
	}
	for ky, up := range rw.Hot {
		rj.Hot[string(ky)] = string(up)
	}
	value, err := json.Marshal(rj)
	if err != nil {
		panic(fmt.Sprintf("pool: a row of plain fields cannot be written: %v", err))
	}
	return value
}

// DecodeRow reads a row's value.
func DecodeRow(value []byte) (Row, error) {
	var rj rowJSON
	if err := json.Unmarshal(value, &rj); err != nil {
		return Row{}, err
	}
	rw := Row{
		Term: rj.Term, Epoch: rj.Epoch, Number: rj.Number, Holder: ident.Host(rj.Holder),
		Owners: map[ident.Slice]ident.Upstream{}, Hot: map[ident.Key]ident.Upstream{},
	}
	for ix, up := range rj.Upstreams {
		for _, sl := range rj.Slices[ix] {
			rw.Owners[sl] = up
		}
	}
	for ky, up := range rj.Hot {
		rw.Hot[ident.Key(ky)] = ident.Upstream(up)
	}
	return rw, nil
}

// PlaceRow gives each slice of a service its pool.
type PlaceRow struct{ Pools []ident.Pool }

// PlaceKey is the table key of a service's PlaceRow.
func PlaceKey(sv ident.Service) string {
	return "slices/" + string(sv)
}

// Of lists the slices of a pool.
func (pw PlaceRow) Of(pl ident.Pool) []ident.Slice {
	var list []ident.Slice
	for ix, name := range pw.Pools {
		if name == pl {
			list = append(list, ident.Slice(ix))
		}
	}
	return list
}

type placeJSON struct {
	Pools []ident.Pool `json:"pools"`
	Of    []int        `json:"of"`
}

// EncodePlace writes a PlaceRow's value.
func EncodePlace(pw PlaceRow) []byte {
	var pj placeJSON
	index := map[ident.Pool]int{}
	for _, pl := range pw.Pools {
		if _, ok := index[pl]; !ok {
			index[pl] = len(pj.Pools)
			pj.Pools = append(pj.Pools, pl)
		}
		pj.Of = append(pj.Of, index[pl])
	}
	value, err := json.Marshal(pj)
	if err != nil {
		panic(fmt.Sprintf("pool: a row of plain fields cannot be written: %v", err))
	}
	return value
}

// DecodePlace reads a PlaceRow's value.
func DecodePlace(value []byte) (PlaceRow, error) {
	var pj placeJSON
	if err := json.Unmarshal(value, &pj); err != nil {
		return PlaceRow{}, err
	}
	if len(pj.Of) == 0 {
		return PlaceRow{}, errors.New("no slices in the row")
	}
	var pw PlaceRow
	for _, ix := range pj.Of {
		if ix < 0 || ix >= len(pj.Pools) {
			return PlaceRow{}, fmt.Errorf("a slice names pool %d of %d", ix, len(pj.Pools))
		}
		pw.Pools = append(pw.Pools, pj.Pools[ix])
	}
	return pw, nil
}
