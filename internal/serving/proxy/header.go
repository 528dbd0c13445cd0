package proxy

import (
	"net/http"
	"strings"
)

// hopFields concern one connection only.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded copies a header without what concerns one connection only.
func forwarded(hd http.Header) http.Header {
	copied := make(http.Header, len(hd))
	for name, values := range hd {
		copied[name] = values
	}
	for _, named := range hd.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopFields {
		delete(copied, name)
	}
	return copied
}
