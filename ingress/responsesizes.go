package ingress

import (
	"maps"

	"savorystep"
)

const (
	// minLocalBytes is the total size of the request body and the expected
	// response body from which a request prefers local endpoints. Smaller bodies
	// fit the initial congestion window of a connection, so that distance costs
	// them no further round trips.
	minLocalBytes = 16 << 10
	// responseSizeWeight is the weight of a new response in the moving average of
	// its route.
	responseSizeWeight = 0.05
	// initialDownloadBytes is the assumed mean size of the responses of a download
	// route before the first one.
	initialDownloadBytes = 64 << 10
)

// responseSizes holds the exponentially weighted moving average of the response
// body size of each route, in bytes.
type responseSizes map[savorystep.RouteName]float64

// mean returns the mean response size of a route. Without a response yet, it is
// initialDownloadBytes for download routes and zero for others.
func (sizes responseSizes) mean(route *savorystep.Route) float64 {
	mean, ok := sizes[route.Name]
	if !ok && route.Class == savorystep.RequestClassDownload {
		return initialDownloadBytes
	}
	return mean
}

// observe adds the size of a response to the mean of its route.
func (sizes responseSizes) observe(route savorystep.RouteName, size int) {
	mean, ok := sizes[route]
	if !ok {
		mean = float64(size)
	}
	sizes[route] = mean + responseSizeWeight*(float64(size)-mean)
}

// retain drops the routes that are not in routing.
func (sizes responseSizes) retain(routing *savorystep.Routing) {
	inRouting := make(map[savorystep.RouteName]bool, len(routing.Routes))
	for _, route := range routing.Routes {
		inRouting[route.Name] = true
	}
	maps.DeleteFunc(sizes, func(name savorystep.RouteName, _ float64) bool { return !inRouting[name] })
}
