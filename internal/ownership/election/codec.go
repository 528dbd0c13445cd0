package election

import (
	"encoding/json"
	"fmt"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
)

type storedRow struct {
	Term        uint64 `json:"term"`
	Host        string `json:"host"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Settled     bool   `json:"settled"`
}

// Encode writes the stored form of the leader's row.
func Encode(rw Row) ([]byte, error) {
	return json.Marshal(storedRow{uint64(rw.Term), string(rw.Host), rw.Address, rw.Incarnation, rw.Settled})
}

// Decode reads the stored form of the leader's row.
func Decode(body []byte) (Row, error) {
	var st storedRow
	if err := json.Unmarshal(body, &st); err != nil {
		return Row{}, fmt.Errorf("leader's row: %w", err)
	}
	return Row{protocol.Term(st.Term), ident.Host(st.Host), st.Address, st.Incarnation, st.Settled}, nil
}
