package http1

import (
	"fmt"
	"io"
	"net/http"
)

// A Response is an endpoint's whole answer. Its body holds a part of a budget
// until Release.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	part *Reservation
}

// readBody reads the body that follows a head, of a bounded size.
func (r *Response) readBody(head *http.Response, bound int64) error {
	if head.Body == http.NoBody {
		return nil
	}
	if head.ContentLength > bound {
		return fmt.Errorf("the answer has %d bytes, more than %d", head.ContentLength, bound)
	}
	body, err := r.part.ReadAll(io.LimitReader(head.Body, bound+1), head.ContentLength)
	if err != nil {
		return err
	}
	if int64(len(body)) > bound {
		return fmt.Errorf("the answer has more than %d bytes", bound)
	}
	r.Body = body
	return head.Body.Close()
}

// Release ends the use of the body.
func (r *Response) Release() {
	if r.part != nil {
		r.part.Release()
	}
	r.Body = nil
}
