package entry

import (
	"net/http"

	"savorystep"
)

// A LoadTarget says where the requests of a stream go.
type LoadTarget struct {
	Stream
	Sender Sender
	// Name is what the client calls the service.
	Name savorystep.Name
	// Keyed requests are sent with an idempotency key.
	Keyed bool
	// Region of the client, for reports.
	Region savorystep.Region
}

// method returns the HTTP method of the target's requests.
func (t LoadTarget) method() string {
	if t.Keyed {
		return http.MethodPost
	}
	return http.MethodGet
}
