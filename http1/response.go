package http1

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// A Response is a complete response of an endpoint. Its body counts against a
// memory budget until Release.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ConnOpenedAt is when the connection was opened on which it came.
	ConnOpenedAt time.Time

	// isUnframed is true if the body has neither a length nor chunks and ends with the
	// connection.
	isUnframed  bool
	reservation *Reservation
}

// readBody reads the body that follows head. It fails if the body has more than
// maxBytes bytes.
func (r *Response) readBody(head *http.Response, maxBytes int64) error {
	if head.Body == http.NoBody {
		return nil
	}
	if head.ContentLength > maxBytes {
		return fmt.Errorf("the answer has %d bytes, more than %d", head.ContentLength, maxBytes)
	}
	body, err := r.reservation.ReadAll(io.LimitReader(head.Body, maxBytes+1), head.ContentLength)
	if err != nil {
		return err
	}
	if int64(len(body)) > maxBytes {
		return fmt.Errorf("the answer has more than %d bytes", maxBytes)
	}
	r.Body = body
	r.isUnframed = head.ContentLength < 0 && len(head.TransferEncoding) == 0
	return head.Body.Close()
}

// Release frees the body and its share of the memory budget. It may be called
// more than once.
func (r *Response) Release() {
	if r.reservation != nil {
		r.reservation.Release()
	}
	r.Body = nil
}
