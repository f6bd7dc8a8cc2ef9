package ingress

import (
	"maps"

	"savorystep"
)

const (
	// nearBytes is the size of the bodies of request and answer together from
	// which a request stays near. Smaller ones fit the first window of a
	// connection.
	nearBytes = 16 << 10
	// answerShare is the share of an answer in the mean size of a route's.
	answerShare = 0.05
	// firstDownload stands for the mean size of a download until there is one.
	firstDownload = 64 << 10
)

// answerSizes are the mean sizes of the answers of routes in bytes.
type answerSizes map[savorystep.RouteName]float64

// mean returns the mean size of a route's answers, as far as it is known.
func (a answerSizes) mean(route *savorystep.Route) float64 {
	mean, ok := a[route.Name]
	if !ok && route.Class == savorystep.RequestClassDownload {
		return firstDownload
	}
	return mean
}

// note takes the size of an answer.
func (a answerSizes) note(route savorystep.RouteName, size int) {
	mean, ok := a[route]
	if !ok {
		mean = float64(size)
	}
	a[route] = mean + answerShare*(float64(size)-mean)
}

// keep forgets the routes that a routing does not have.
func (a answerSizes) keep(routing *savorystep.Routing) {
	known := make(map[savorystep.RouteName]bool, len(routing.Routes))
	for _, route := range routing.Routes {
		known[route.Name] = true
	}
	maps.DeleteFunc(a, func(name savorystep.RouteName, _ float64) bool { return !known[name] })
}
