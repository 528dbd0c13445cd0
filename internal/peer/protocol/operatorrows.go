package protocol

import (
	"github.com/rotisserie/eris"

	"chervilwalk/internal/base/era"
)

// OperatorRows carries one part of an encoded RowSet, numbered as in Roster. Version is that of
// the set.
type OperatorRows struct {
	Version     uint64
	Part, Parts int
	Body        string
}

// RowSet holds all rows of the operators as the store had them at a version.
type RowSet struct {
	// Table is the store's table that holds them.
	Table   string
	Version uint64
	Rows    []OperatorRow
	// Suspects are those that a host must know before it follows the rows.
	Suspects []Suspect
}

// OperatorRow is one row of the operators with the version of its last change.
type OperatorRow struct {
	Key, Value string
	Version    uint64
}

// maxRowKeyBytes is the store's bound on keys.
const maxRowKeyBytes = 200

func (ms *OperatorRows) code(cd *codec) {
	varint(cd, &ms.Version)
	count(cd, &ms.Part)
	count(cd, &ms.Parts)
	text(cd, &ms.Body)
}

func (OperatorRows) number() uint8 { return operatorRowsNumber }

func (rs *RowSet) code(cd *codec) {
	text(cd, &rs.Table)
	varint(cd, &rs.Version)
	list(cd, &rs.Rows, func(rw *OperatorRow) {
		text(cd, &rw.Key)
		text(cd, &rw.Value)
		varint(cd, &rw.Version)
	})
	suspects := Suspects{rs.Suspects}
	suspects.code(cd)
	rs.Suspects = suspects.Suspects
}

// EncodeRowSet returns a row set in compressed form.
func EncodeRowSet(rs RowSet) []byte {
	cd := &codec{}
	rs.code(cd)
	return compress(cd.buf)
}

// DecodeRowSet decodes a row set. It fails if any of it is malformed: without one of its rows
// the set would say that this row was deleted.
func DecodeRowSet(body []byte) (RowSet, error) {
	content, err := decompress(body)
	if err != nil {
		return RowSet{}, eris.Wrap(err, "operator rows")
	}
	cd := &codec{buf: content, reading: true}
	var rs RowSet
	rs.code(cd)
	if cd.err != nil {
		return RowSet{}, eris.Wrap(cd.err, "operator rows")
	}
	er, number := era.Split(rs.Version)
	if rs.Version == 0 || number == 0 {
		return RowSet{}, eris.Errorf("operator rows: version %d is none of the store's", rs.Version)
	}
	keys := map[string]bool{}
	for _, rw := range rs.Rows {
		switch rowEra, rowNumber := era.Split(rw.Version); {
		case rw.Key == "" || len(rw.Key) > maxRowKeyBytes || keys[rw.Key]:
			return RowSet{}, eris.Errorf("operator rows: key %.250q is empty, too long or there twice", rw.Key)
		case rowNumber == 0 || rowEra != er:
			return RowSet{}, eris.Errorf("operator rows: version %d of %.200q is not of the era of version %d", rw.Version, rw.Key, rs.Version)
		}
		keys[rw.Key] = true
	}
	return rs, nil
}
