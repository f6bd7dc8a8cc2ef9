package endpoint

import (
	"slices"
	"time"
)

// A recentRequest is a request of this instance to an endpoint.
type recentRequest struct {
	// number identifies it among the requests of this instance.
	number uint64
	sentAt time.Time
	// wasCold is true if the endpoint counted as cold.
	wasCold bool
}

// recentRequests are the requests of this instance to an endpoint in the last
// coldWindow, the oldest first.
type recentRequests []recentRequest

// add adds a request that is sent now.
func (r *recentRequests) add(now time.Time, number uint64, isCold bool) {
	r.evict(now)
	*r = append(*r, recentRequest{number: number, sentAt: now, wasCold: isCold})
}

// remove drops a request that was not sent after all.
func (r *recentRequests) remove(number uint64) {
	i := slices.IndexFunc(*r, func(request recentRequest) bool { return request.number == number })
	if i >= 0 {
		*r = slices.Delete(*r, i, i+1)
	}
}

// evict drops the requests before the last coldWindow.
func (r *recentRequests) evict(now time.Time) {
	first := 0
	for first < len(*r) && now.Sub((*r)[first].sentAt) >= coldWindow {
		first++
	}
	*r = slices.Delete(*r, 0, first)
}

// count returns the numbers of requests for which the endpoint counted as warm and as
// cold.
func (r *recentRequests) count(now time.Time) (warm, cold int) {
	r.evict(now)
	for _, request := range *r {
		if request.wasCold {
			cold++
		} else {
			warm++
		}
	}
	return warm, cold
}
