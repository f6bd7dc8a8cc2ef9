package upstream

import (
	"net/http"
	"net/textproto"
	"strings"

	"savorystep"
)

// net/http sends a request again by itself if it has an idempotency key. It
// looks up only the canonical form of the header names, while HTTP header names
// are case-insensitive, so the key is sent under lower-case names.
const (
	lowerCaseKey  = "idempotency-key"
	lowerCaseXKey = "x-idempotency-key"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the hop-by-hop headers, including those named by the
// Connection header.
func removeHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// requestHeader returns the header of the request to the endpoint.
func requestHeader(request *savorystep.Request) http.Header {
	header := make(http.Header, len(request.Header)+3)
	for name, values := range request.Header {
		header[name] = values
	}
	removeHopByHop(header)
	delete(header, "Content-Length")
	delete(header, "Host")
	if values, ok := header["X-Idempotency-Key"]; ok {
		delete(header, "X-Idempotency-Key")
		header[lowerCaseXKey] = values
	}
	delete(header, savorystep.HeaderKey)
	if request.IdempotencyKey != "" {
		header[lowerCaseKey] = []string{string(request.IdempotencyKey)}
	}
	if request.ID != "" {
		header[savorystep.HeaderRequest] = []string{string(request.ID)}
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from setting its own.
		header["User-Agent"] = []string{""}
	}
	return header
}

// responseHeader returns the header of the response to the caller.
func responseHeader(header http.Header) http.Header {
	removeHopByHop(header)
	// Only an instance may set these headers, not an upstream.
	for _, name := range []string{savorystep.HeaderKind, savorystep.HeaderRan, savorystep.HeaderShed} {
		delete(header, name)
	}
	return header
}
