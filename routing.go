package savorystep

import (
	"cmp"
	"slices"
	"strings"
)

// A Routing is the routes and services in force. It is immutable.
type Routing struct {
	Revision Revision
	Services map[Service]ServiceSpec
	Limits   ClientLimits
	Routes   []*Route
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// NewRouting returns a routing with the given routes.
func NewRouting(revision Revision, routes []*Route, services map[Service]ServiceSpec, limits ClientLimits) *Routing {
	r := &Routing{Revision: revision, Services: services, Limits: limits, Routes: routes, byHost: make(map[string][]*Route)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, list := range r.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return r
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. A port in the host does not count.
func (r *Routing) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
