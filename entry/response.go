package entry

import (
	"net/http"

	"savorystep"
)

// A Response is the whole answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Entry is the instance that answered.
	Entry savorystep.Entry
	// Attempts is how many times the request was sent to an entry.
	Attempts int
}
