package assignment

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/roster"
)

// MaxBytes is the size limit of one row of the store, in bytes.
const MaxBytes = 64 << 10

// MaxShares is the number of shares with which a table with hundreds of members
// and upstreams fits into one row.
const MaxShares = 1500

// maxDecodedBytes limits the size of a decompressed table.
const maxDecodedBytes = 4 << 20

// ErrTooLarge is returned by Encode for a table that exceeds MaxBytes.
var ErrTooLarge = errors.New("assignment: too large for one row")

// flateWriters reuses writers, as each takes about a megabyte.
var flateWriters = sync.Pool{New: func() any {
	// NewWriter only fails for an invalid level.
	fw, _ := flate.NewWriter(nil, flate.BestSpeed)
	return fw
}}

// storedTable is the stored form of a table: JSON compressed with DEFLATE. It
// lists each upstream and service once and refers to it by index, so that
// thousands of shares fit into one row.
type storedTable struct {
	Revision  uint64   `json:"revision"`
	NextEpoch uint64   `json:"nextEpoch"`
	Services  []string `json:"services"`
	// Upstreams and Incarnations are parallel: one entry for each incarnation of an
	// upstream.
	Upstreams    []string       `json:"upstreams"`
	Incarnations []int64        `json:"lives"`
	Members      []storedMember `json:"members"`
	// Shares holds for each share: service, from, to, owner and its epoch, and
	// during a move also next, its epoch and the fence.
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

// maxFitness is above the fitness of any machine: that of a thousand processors.
const maxFitness = 100_000

// The number of fields of a stored share that is not moving, and of one that is.
const (
	stableFields = 5
	movingFields = 8
)

// Encode returns the stored form of a table. The error wraps ErrTooLarge if it
// exceeds MaxBytes.
func Encode(tb *Table) ([]byte, error) {
	st := storedTable{
		Revision: uint64(tb.Revision), NextEpoch: uint64(tb.LastEpoch),
		Services: []string{}, Upstreams: []string{}, Incarnations: []int64{}, Members: []storedMember{}, Shares: [][]uint64{},
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
		fields := []uint64{service, uint64(sh.From), uint64(sh.To), st.upstreamNumber(claims, sh.Owner), uint64(sh.Owner.Epoch)}
		if sh.Moving() {
			fields = append(fields, st.upstreamNumber(claims, sh.Next), uint64(sh.Next.Epoch), uint64(sh.Fence))
		}
		st.Shares = append(st.Shares, fields)
	}
	text, err := json.Marshal(st)
	if err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	body, err := compress(text)
	if err == nil && len(body) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d shares, %d members", ErrTooLarge, len(body), len(tb.Shares), len(tb.Members))
	}
	return body, err
}

// compress returns the text compressed with DEFLATE.
func compress(text []byte) ([]byte, error) {
	fw, ok := flateWriters.Get().(*flate.Writer)
	if !ok {
		return nil, errors.New("assignment: flateWriters returned no *flate.Writer")
	}
	defer flateWriters.Put(fw)
	var compressed bytes.Buffer
	fw.Reset(&compressed)
	if _, err := fw.Write(text); err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	if err := fw.Close(); err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	return compressed.Bytes(), nil
}

// upstreamNumber returns the index of a claim's upstream and incarnation, which it
// adds if they are new. The claims map holds the known indices.
func (st *storedTable) upstreamNumber(claims map[Claim]uint64, cl Claim) uint64 {
	cl.Epoch = 0
	number, known := claims[cl]
	if !known {
		number = uint64(len(st.Upstreams))
		claims[cl] = number
		st.Upstreams = append(st.Upstreams, string(cl.Upstream))
		st.Incarnations = append(st.Incarnations, int64(cl.Incarnation))
	}
	return number
}

// Decode parses the stored form of a table.
func Decode(body []byte) (*Table, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxDecodedBytes))
	if err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	var st storedTable
	if err := json.Unmarshal(text, &st); err != nil {
		return nil, fmt.Errorf("assignment: %w", err)
	}
	if len(st.Incarnations) != len(st.Upstreams) {
		return nil, errors.New("assignment: the lists \"upstreams\" and \"lives\" differ in length")
	}
	tb := &Table{Revision: Revision(st.Revision), LastEpoch: keyspace.Epoch(st.NextEpoch)}
	for number, mb := range st.Members {
		if mb.Host == "" || mb.Fitness < 0 || mb.Fitness > maxFitness {
			return nil, fmt.Errorf("assignment: member %d: host %q or fitness %d is out of range", number, mb.Host, mb.Fitness)
		}
		tb.Members = append(tb.Members, Member{ident.Host(mb.Host), ident.Domain(mb.Domain), mb.Address, mb.Incarnation, mb.Fitness, mb.Alive})
	}
	for number, fields := range st.Shares {
		sh, err := st.share(fields)
		if err != nil {
			return nil, fmt.Errorf("assignment: share %d: %w", number, err)
		}
		tb.Shares = append(tb.Shares, sh)
	}
	if err := tb.check(); err != nil {
		return nil, err
	}
	return tb, nil
}

// check reports numbers without room for later ones and shares that are out of order or
// that overlap, of which two owners could hold the same keys.
func (tb *Table) check() error {
	if !era.InRange(tb.Revision) || !era.InRange(tb.LastEpoch) {
		return fmt.Errorf("assignment: revision %d or epoch %d is out of range", tb.Revision, tb.LastEpoch)
	}
	for ix := range tb.Shares {
		sh := &tb.Shares[ix]
		if highest := max(sh.Owner.Epoch, sh.Next.Epoch, sh.Fence); highest > tb.LastEpoch {
			return fmt.Errorf("assignment: share %d: epoch %d is above the last one, %d", ix, highest, tb.LastEpoch)
		}
		if ix == 0 {
			continue
		}
		if previous := &tb.Shares[ix-1]; previous.Service > sh.Service || previous.Service == sh.Service && previous.To >= sh.From {
			return fmt.Errorf("assignment: share %d overlaps the one before or is out of order", ix)
		}
	}
	return nil
}

// share decodes the fields of a stored share.
func (st *storedTable) share(fields []uint64) (Share, error) {
	if len(fields) != stableFields && len(fields) != movingFields {
		return Share{}, fmt.Errorf("%d fields, want 5 or 8", len(fields))
	}
	if fields[0] >= uint64(len(st.Services)) || fields[1] > fields[2] || fields[2] > uint64(keyspace.Last) {
		return Share{}, fmt.Errorf("service index %d or keys %d to %d out of range", fields[0], fields[1], fields[2])
	}
	sh := Share{Service: ident.Service(st.Services[fields[0]]), Range: keyspace.Range{From: keyspace.Key(fields[1]), To: keyspace.Key(fields[2])}}
	var err error
	if sh.Owner, err = st.claim(fields[3], fields[4]); err != nil || len(fields) == stableFields {
		return sh, err
	}
	sh.Fence = keyspace.Epoch(fields[7])
	sh.Next, err = st.claim(fields[5], fields[6])
	return sh, err
}

// claim returns the claim of the upstream with an index.
func (st *storedTable) claim(number, epoch uint64) (Claim, error) {
	if number >= uint64(len(st.Upstreams)) {
		return Claim{}, fmt.Errorf("upstream index %d is out of range", number)
	}
	return Claim{ident.Upstream(st.Upstreams[number]), roster.Incarnation(st.Incarnations[number]), keyspace.Epoch(epoch)}, nil
}
