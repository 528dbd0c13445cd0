package protocol

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/roster"
)

// PackedRoster is Roster with the entries of all parts packed together: Body is a part of what
// PackEntries returns. Earlier builds do not know it.
type PackedRoster struct {
	Term        Term
	Version     uint64
	GraceLeft   time.Duration
	Part, Parts int
	Body        string
}

func (PackedRoster) number() uint8 { return packedRosterNumber }

func (ms *PackedRoster) code(cd *codec) {
	varint(cd, &ms.Term)
	varint(cd, &ms.Version)
	duration(cd, &ms.GraceLeft)
	count(cd, &ms.Part)
	count(cd, &ms.Parts)
	text(cd, &ms.Body)
}

// PackEntries returns entries in compressed form.
func PackEntries(entries []roster.Entry) []byte {
	cd := &codec{}
	codeEntries(cd, &entries, nil)
	return compress(cd.buf)
}

// UnpackEntries returns packed entries and the errors of those that it has left out.
func UnpackEntries(body string) (entries []roster.Entry, malformed []error, err error) {
	content, err := decompress([]byte(body))
	if err != nil {
		return nil, nil, eris.Wrap(err, "packed entries")
	}
	cd := &codec{buf: content, reading: true}
	codeEntries(cd, &entries, &malformed)
	return entries, malformed, eris.Wrap(cd.err, "packed entries")
}

// maxUnpackedBytes bounds what is decompressed.
const maxUnpackedBytes = 4 << 20

// flateWriters reuses writers, as each takes about a megabyte.
var flateWriters = sync.Pool{New: func() any {
	// NewWriter only fails for an invalid level.
	fw, _ := flate.NewWriter(nil, flate.BestSpeed)
	return fw
}}

func compress(content []byte) []byte {
	var compressed bytes.Buffer
	fw := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(fw)
	fw.Reset(&compressed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = fw.Write(content)
	_ = fw.Close()
	return compressed.Bytes()
}

func decompress(body []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(content) > maxUnpackedBytes {
		return nil, eris.Errorf("more than %d bytes", maxUnpackedBytes)
	}
	return content, nil
}
