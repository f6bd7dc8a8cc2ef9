package ingress

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only, or are set anew for the next one.
var hopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(header http.Header) http.Header {
	result := make(http.Header, len(header))
	for name, values := range header {
		result[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(result, name)
	}
	return result
}
