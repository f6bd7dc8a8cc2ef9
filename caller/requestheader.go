package caller

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers that hold for one connection only.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// forwardedHeader returns the headers of a request that go on to the upstream.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	removeHopHeaders(forwarded)
	return forwarded
}

// copyHeader adds the headers of an upstream's answer.
func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
}

// removeHopHeaders removes the headers that hold for one connection, those
// named by the Connection header included.
func removeHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
