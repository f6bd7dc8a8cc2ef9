package entry

import (
	"net/http"

	"savorystep"
)

// A Response is the complete response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Entry is the entry that responded. For a DirectSender, only its address is set, to
	// that of the endpoint.
	Entry savorystep.Entry
	// Attempts is the number of times that the request was sent to an entry.
	Attempts int
}
