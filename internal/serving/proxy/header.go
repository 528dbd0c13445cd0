package proxy

import (
	"net/http"
	"strings"
)

// hopByHopFields apply to a single connection and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeader copies a header without its hop-by-hop fields: those above and
// those that its Connection field names.
func endToEndHeader(hd http.Header) http.Header {
	copied := make(http.Header, len(hd))
	for name, values := range hd {
		copied[name] = values
	}
	for _, named := range hd.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(copied, name)
	}
	return copied
}
