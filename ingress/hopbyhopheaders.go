package ingress

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection only, or are set anew for the next one.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of a header without what concerns one connection.
func endToEndHeaders(header http.Header) http.Header {
	result := make(http.Header, len(header))
	for name, values := range header {
		result[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(result, name)
	}
	return result
}
