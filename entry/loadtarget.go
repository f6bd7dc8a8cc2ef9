package entry

import (
	"net/http"

	"savorystep"
)

// A LoadTarget is a stream of requests with the sender and service that it uses.
type LoadTarget struct {
	Stream
	Sender Sender
	// Name is the name or alias that the requests use for the service.
	Name savorystep.Name
	// Keyed is true if the requests are sent with an idempotency key, as POST. The
	// others are sent as GET.
	Keyed bool
	// Region is the region of the client, for reports.
	Region savorystep.Region
}

// method returns the HTTP method of the target's requests.
func (t LoadTarget) method() string {
	if t.Keyed {
		return http.MethodPost
	}
	return http.MethodGet
}
