package ingress

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection, and
// Content-Length and Expect, which are set anew for each connection.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a shallow copy of a header without hop-by-hop headers
// and those named by its Connection header.
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
