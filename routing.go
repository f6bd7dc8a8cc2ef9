package savorystep

import (
	"cmp"
	"slices"
	"strings"
)

// A Routing holds the routes, services and client limits of a configuration. It is
// immutable.
type Routing struct {
	Revision Revision
	Services map[Service]ServiceSpec
	Limits   ClientLimits
	Routes   []*Route
	// byHost holds the routes of each lower-case host, longest prefix first.
	byHost map[string][]*Route
}

// NewRouting returns a routing with the given routes, indexed by host.
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

// Match returns the route of the host whose prefix is the longest one that path
// begins with, or nil. The case of the host and its port are ignored.
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
