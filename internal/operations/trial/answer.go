package trial

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/stand/upstream"
)

// compare holds an answer that its caller took for whole against the one that
// the stand-in sends for this request.
func (as asked) compare(id ident.Request, text []byte) (truncated, wrong bool) {
	head, rest, whole := bytes.Cut(text, []byte("\n"))
	if !whole {
		return true, false
	}
	if len(text) < as.bytes {
		return true, false
	}
	wanted := max(as.bytes, len(head)+1)
	return false, len(text) != wanted || !as.ownHead(id, head) || !filledBy(id, rest)
}

// ownHead tells whether the first line repeats the request.
func (as asked) ownHead(id ident.Request, head []byte) bool {
	begin := fmt.Sprintf("%s %s %s by ", id, as.method, as.path)
	sum := sha256.Sum256([]byte(as.body))
	return bytes.HasPrefix(head, []byte(begin)) && bytes.HasSuffix(head, []byte(" body "+hex.EncodeToString(sum[:8])))
}

// filledBy tells whether the rest is what the stand-in fills an answer with:
// the request's id again and again, begun anew with each piece.
func filledBy(id ident.Request, rest []byte) bool {
	line := []byte(string(id) + "\n")
	fill := bytes.Repeat(line, upstream.PieceBytes/len(line)+1)[:upstream.PieceBytes]
	for piece := range slices.Chunk(rest, upstream.PieceBytes) {
		if !bytes.Equal(piece, fill[:len(piece)]) {
			return false
		}
	}
	return true
}
