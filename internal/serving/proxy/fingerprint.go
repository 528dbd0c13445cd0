package proxy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/httpserver"
)

// callerFields identify the caller of a request, as far as it says who it is.
var callerFields = []string{"Authorization", "Cookie", "From", "User-Agent", "X-Api-Key"}

// fingerprintOf returns the fingerprint of a request: two requests have the same one if they are
// repeats of each other. It leaves out what differs between repeats, such as the id, the time
// limit and the encoding of the body for its connection. Bodies that are not kept whole count
// with their first httpserver.BufferBytes.
func fingerprintOf(rq *httpserver.Request, ri RequestInfo) ident.Fingerprint {
	dg := xxhash.New()
	add := func(part string) {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = dg.Write(size[:])
		_, _ = dg.WriteString(part)
	}
	add(rq.Method)
	add(rq.Host)
	add(rq.URI)
	if ri.Keyed {
		_, _ = dg.Write([]byte{byte(ri.Key >> 8), byte(ri.Key)})
	}
	for _, name := range callerFields {
		for _, value := range rq.Header.Values(name) {
			add(name)
			add(value)
		}
	}
	_, _ = dg.Write(rq.Body)
	// 0 stands for requests that have none.
	return ident.Fingerprint(max(dg.Sum64(), 1))
}
