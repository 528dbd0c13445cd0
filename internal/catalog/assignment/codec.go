package assignment

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/roster"
)

// MaxBytes is how much of the stored form fits into one row of the store.
const MaxBytes = 64 << 10

// MaxShares is how finely the keys may be cut for a table with hundreds of
// members and upstreams to fit into a row.
const MaxShares = 1500

// maxTextBytes bounds what a stored form may unpack to.
const maxTextBytes = 4 << 20

// ErrTooLarge says that a table does not fit into one row.
var ErrTooLarge = errors.New("assignment: too large for one row")

// packers are kept: each takes about a megabyte.
var packers = sync.Pool{New: func() any {
	// The level is valid, so that there is no error.
	pk, _ := flate.NewWriter(nil, flate.BestSpeed)
	return pk
}}

// The stored form is packed text. It names each upstream and service once and
// refers to it by its number, so that thousands of shares fit into one row.
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
	text, err := json.Marshal(st)
	if err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	body, err := pack(text)
	if err == nil && len(body) > MaxBytes {
		err = fmt.Errorf("%w: %d bytes, %d shares, %d members", ErrTooLarge, len(body), len(tb.Shares), len(tb.Members))
	}
	return body, err
}

func pack(text []byte) ([]byte, error) {
	pk, ok := packers.Get().(*flate.Writer)
	if !ok {
		return nil, errors.New("assignment: no packer")
	}
	defer packers.Put(pk)
	var packed bytes.Buffer
	pk.Reset(&packed)
	if _, err := pk.Write(text); err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	if err := pk.Close(); err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	return packed.Bytes(), nil
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
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxTextBytes))
	if err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	var st storedTable
	if err := json.Unmarshal(text, &st); err != nil {
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
