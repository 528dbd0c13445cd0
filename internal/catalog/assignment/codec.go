package assignment

import (
	"encoding/json"
	"errors"
	"fmt"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/roster"
)

// The stored form names each upstream and service once and refers to it by its
// number, so that a thousand shares fit into one row.
type storedTable struct {
	Revision  uint64         `json:"revision"`
	NextEpoch uint64         `json:"nextEpoch"`
	Services  []string       `json:"services"`
	Upstreams []string       `json:"upstreams"`
	Lives     []int64        `json:"lives"`
	Members   []storedMember `json:"members"`
	// Shares are service, from, to, owner, epoch and, while moving, next, its
	// epoch and the fence.
	Shares [][]uint64 `json:"shares"`
}

type storedMember struct {
	Host        string `json:"host"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Fitness     int    `json:"fitness"`
	Alive       bool   `json:"alive"`
}

const (
	heldFields   = 5
	movingFields = 8
)

// Encode writes the stored form of a table.
func Encode(tb *Table) ([]byte, error) {
	st := storedTable{
		Revision: uint64(tb.Revision), NextEpoch: uint64(tb.NextEpoch),
		Services: []string{}, Upstreams: []string{}, Lives: []int64{}, Members: []storedMember{}, Shares: [][]uint64{},
	}
	for _, mb := range tb.Members {
		st.Members = append(st.Members, storedMember{string(mb.Host), string(mb.Domain), mb.Address, mb.Incarnation, mb.Fitness, mb.Alive})
	}
	services, claims := map[ident.Service]uint64{}, map[Claim]uint64{}
	for _, sh := range tb.Shares {
		service, known := services[sh.Service]
		if !known {
			service = uint64(len(st.Services))
			services[sh.Service] = service
			st.Services = append(st.Services, string(sh.Service))
		}
		fields := []uint64{service, uint64(sh.From), uint64(sh.To), st.upstream(claims, sh.Owner), uint64(sh.Owner.Epoch)}
		if sh.Moving() {
			fields = append(fields, st.upstream(claims, sh.Next), uint64(sh.Next.Epoch), uint64(sh.Fence))
		}
		st.Shares = append(st.Shares, fields)
	}
	return json.Marshal(st)
}

// upstream returns the number of a claim's upstream and life.
func (st *storedTable) upstream(claims map[Claim]uint64, cl Claim) uint64 {
	cl.Epoch = 0
	number, known := claims[cl]
	if !known {
		number = uint64(len(st.Upstreams))
		claims[cl] = number
		st.Upstreams = append(st.Upstreams, string(cl.Upstream))
		st.Lives = append(st.Lives, int64(cl.Life))
	}
	return number
}

// Decode reads the stored form of a table.
func Decode(body []byte) (*Table, error) {
	var st storedTable
	if err := json.Unmarshal(body, &st); err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	if len(st.Lives) != len(st.Upstreams) {
		return nil, errors.New("assignment: upstreams and lives differ in number")
	}
	tb := &Table{Revision: Revision(st.Revision), NextEpoch: keyspace.Epoch(st.NextEpoch)}
	for _, mb := range st.Members {
		tb.Members = append(tb.Members, Member{ident.Host(mb.Host), ident.Domain(mb.Domain), mb.Address, mb.Incarnation, mb.Fitness, mb.Alive})
	}
	for number, fields := range st.Shares {
		sh, err := st.share(fields)
		if err != nil {
			return nil, fmt.Errorf("assignment: share %d: %w", number, err)
		}
		tb.Shares = append(tb.Shares, sh)
	}
	return tb, nil
}

func (st *storedTable) share(fields []uint64) (Share, error) {
	if len(fields) != heldFields && len(fields) != movingFields {
		return Share{}, fmt.Errorf("%d fields", len(fields))
	}
	if fields[0] >= uint64(len(st.Services)) || fields[1] > fields[2] || fields[2] > uint64(keyspace.Last) {
		return Share{}, fmt.Errorf("service %d, keys %d to %d", fields[0], fields[1], fields[2])
	}
	sh := Share{Service: ident.Service(st.Services[fields[0]]), Range: keyspace.Range{From: keyspace.Key(fields[1]), To: keyspace.Key(fields[2])}}
	var err error
	if sh.Owner, err = st.claim(fields[3], fields[4]); err != nil || len(fields) == heldFields {
		return sh, err
	}
	sh.Fence = keyspace.Epoch(fields[7])
	sh.Next, err = st.claim(fields[5], fields[6])
	return sh, err
}

func (st *storedTable) claim(number, epoch uint64) (Claim, error) {
	if number >= uint64(len(st.Upstreams)) {
		return Claim{}, fmt.Errorf("upstream %d is not listed", number)
	}
	return Claim{ident.Upstream(st.Upstreams[number]), roster.Life(st.Lives[number]), keyspace.Epoch(epoch)}, nil
}
