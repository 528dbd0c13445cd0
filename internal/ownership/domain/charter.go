package domain

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/platform/table"
)

// Charter is what a domain binds itself to while it is cut off. It stands in
// the table, because a challenger must judge a silent domain by the rules that
// the domain itself goes by, not by those of a bundle it has not seen.
type Charter struct {
	// Voters are the other domains whose promises the domain counts.
	Voters []ident.Domain
	// Keeps gives the time for which a cut-off domain keeps a service; a service
	// without one is yielded.
	Keeps map[ident.Service]time.Duration
	// Retired says that the domain gives no promises and owns no slices.
	Retired bool
}

// charterOf is the charter that a bundle asks of a domain.
func charterOf(bn *bundle.Bundle, own ident.Domain) Charter {
	ch := Charter{Keeps: map[ident.Service]time.Duration{}}
	for _, dm := range bn.Domains {
		if dm.Name != own {
			ch.Voters = append(ch.Voters, dm.Name)
		}
	}
	slices.Sort(ch.Voters)
	for ix := range bn.Services {
		sv := &bn.Services[ix]
		if sv.Keyed && sv.WhenCutOff == bundle.Keep && sv.KeepFor > 0 {
			ch.Keeps[sv.Name] = sv.KeepFor
		}
	}
	return ch
}

func (ch Charter) equal(other Charter) bool {
	return ch.Retired == other.Retired && slices.Equal(ch.Voters, other.Voters) && maps.Equal(ch.Keeps, other.Keeps)
}

// book is a domain's own charter with what may be in the table.
type book struct {
	// read tells that the row was read in this term.
	read    bool
	version table.Version
	inForce Charter
	// confirmed tells that this term wrote the row, so that no write of an
	// earlier leader can take effect any more.
	confirmed bool
	// pending is a charter that was sent to the table and may be in force; only
	// a newer version of the row settles it.
	pending *Charter
}

// keep is the shortest time that the charters which may be in force allow.
func (bk *book) keep(sv ident.Service) time.Duration {
	if !bk.confirmed {
		return 0
	}
	keep := bk.inForce.Keeps[sv]
	if bk.pending != nil {
		keep = min(keep, bk.pending.Keeps[sv])
	}
	return keep
}

type charterJSON struct {
	Voters  []string         `json:"voters"`
	Keeps   map[string]int64 `json:"keepMillis,omitempty"`
	Retired bool             `json:"retired,omitempty"`
}

// EncodeCharter writes a charter for its row.
func EncodeCharter(ch Charter) []byte {
	cj := charterJSON{Retired: ch.Retired, Keeps: map[string]int64{}}
	for _, dm := range ch.Voters {
		cj.Voters = append(cj.Voters, string(dm))
	}
	for sv, keep := range ch.Keeps {
		cj.Keeps[string(sv)] = keep.Milliseconds()
	}
	value, err := json.Marshal(cj)
	if err != nil {
		panic(fmt.Sprintf("domain: a row of plain fields cannot be written: %v", err))
	}
	return value
}

// DecodeCharter reads a charter's row.
func DecodeCharter(data []byte) (Charter, error) {
	var cj charterJSON
	if err := json.Unmarshal(data, &cj); err != nil {
		return Charter{}, err
	}
	ch := Charter{Retired: cj.Retired, Keeps: map[ident.Service]time.Duration{}}
	for _, name := range cj.Voters {
		ch.Voters = append(ch.Voters, ident.Domain(name))
	}
	for name, millis := range cj.Keeps {
		ch.Keeps[ident.Service(name)] = time.Duration(millis) * time.Millisecond
	}
	return ch, nil
}
