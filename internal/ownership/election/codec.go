package election

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
)

// storedRow is the JSON form of a Row.
type storedRow struct {
	Term        uint64 `json:"term"`
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Settled     bool   `json:"settled"`
	FrozenMs    int64  `json:"frozenMs,omitempty"`
	Uncertain   bool   `json:"uncertain,omitempty"`
}

// Encode returns the JSON form of the leader's row.
func Encode(rw Row) ([]byte, error) {
	return json.Marshal(storedRow{uint64(rw.Term), string(rw.Host), rw.Address, rw.Incarnation, rw.Settled, rw.Frozen.Milliseconds(), rw.Uncertain})
}

// Decode parses the JSON form of the leader's row. A term that is missing or leaves no
// room for later ones is an error. A freeze above MaxFrozen counts as MaxFrozen.
func Decode(body []byte) (Row, error) {
	var st storedRow
	if err := json.Unmarshal(body, &st); err != nil {
		return Row{}, fmt.Errorf("decode leader row: %w", err)
	}
	switch {
	case !era.InRange(st.Term):
		return Row{}, fmt.Errorf("decode leader row: term %d is out of range", st.Term)
	case st.Term == 0:
		return Row{}, errors.New("decode leader row: it has no term")
	}
	frozen := time.Duration(min(max(st.FrozenMs, 0), MaxFrozen.Milliseconds())) * time.Millisecond
	return Row{protocol.Term(st.Term), ident.Host(st.Host), st.Address, st.Incarnation, st.Settled, frozen, st.Uncertain}, nil
}
