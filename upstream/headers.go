package upstream

import (
	"net/http"
	"net/textproto"
	"strings"

	"savorystep"
)

// net/http sends a request again by itself when it finds an idempotency key.
// It does not find the lower-case forms; HTTP header names have no case.
const (
	lowerCaseKey  = "idempotency-key"
	lowerCaseXKey = "x-idempotency-key"
)

// hopHeaders concern one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHops removes the headers that concern one connection.
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

// outgoingHeader returns the header that goes to the endpoint.
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
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	return header
}

// incomingHeader returns the header that goes to the caller.
func responseHeader(header http.Header) http.Header {
	removeHopByHop(header)
	// These are statements of an entry, not of an upstream.
	for _, name := range []string{savorystep.HeaderKind, savorystep.HeaderRan, savorystep.HeaderShed} {
		delete(header, name)
	}
	return header
}
