package caller

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
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

// forwardedHeader returns a copy of a request's headers without the hop-by-hop headers.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	removeHopByHopHeaders(forwarded)
	return forwarded
}

// copyResponseHeader copies the headers of an upstream's response from src to dst. It
// first removes the hop-by-hop headers from src.
func copyResponseHeader(dst, src http.Header) {
	removeHopByHopHeaders(src)
	for name, values := range src {
		dst[name] = values
	}
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func removeHopByHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
