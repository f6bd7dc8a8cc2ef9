package ingress

import (
	"maps"

	"savorystep"
)

const (
	// minLocalBytes is the size of the bodies of request and answer together from
	// which a request stays near. Smaller ones fit the first window of a
	// connection.
	minLocalBytes = 16 << 10
	// responseSizeWeight is the share of an answer in the mean size of a route's.
	responseSizeWeight = 0.05
	// initialDownloadBytes stands for the mean size of a download until there is one.
	initialDownloadBytes = 64 << 10
)

// responseSizes are the mean sizes of the answers of routes in bytes.
type responseSizes map[savorystep.RouteName]float64

// mean returns the mean size of a route's answers, as far as it is known.
func (a responseSizes) mean(route *savorystep.Route) float64 {
	mean, ok := a[route.Name]
	if !ok && route.Class == savorystep.RequestClassDownload {
		return initialDownloadBytes
	}
	return mean
}

// observe takes the size of an answer.
func (a responseSizes) observe(route savorystep.RouteName, size int) {
	mean, ok := a[route]
	if !ok {
		mean = float64(size)
	}
	a[route] = mean + responseSizeWeight*(float64(size)-mean)
}

// retain forgets the routes that a routing does not have.
func (a responseSizes) retain(routing *savorystep.Routing) {
	known := make(map[savorystep.RouteName]bool, len(routing.Routes))
	for _, route := range routing.Routes {
		known[route.Name] = true
	}
	maps.DeleteFunc(a, func(name savorystep.RouteName, _ float64) bool { return !known[name] })
}
