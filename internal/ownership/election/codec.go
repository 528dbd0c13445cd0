package election

import (
	"encoding/json"
	"fmt"
	"time"

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
}

// Encode returns the JSON form of the leader's row.
func Encode(rw Row) ([]byte, error) {
	return json.Marshal(storedRow{uint64(rw.Term), string(rw.Host), rw.Address, rw.Incarnation, rw.Settled, rw.Frozen.Milliseconds()})
}

// Decode parses the JSON form of the leader's row.
func Decode(body []byte) (Row, error) {
	var st storedRow
	if err := json.Unmarshal(body, &st); err != nil {
		return Row{}, fmt.Errorf("decode leader row: %w", err)
	}
	return Row{protocol.Term(st.Term), ident.Host(st.Host), st.Address, st.Incarnation, st.Settled, time.Duration(max(st.FrozenMs, 0)) * time.Millisecond}, nil
}
