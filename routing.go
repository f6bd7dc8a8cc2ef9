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
	for _, route := range r.routesOf(host) {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Homes returns the regions in which requests of any route of a host may run.
// isUnbound is true if the host has a route whose requests may run in all regions,
// or has no route; homes then are the regions of its other routes.
func (r *Routing) Homes(host string) (homes []Region, isUnbound bool) {
	routes := r.routesOf(host)
	isUnbound = len(routes) == 0
	for _, route := range routes {
		isUnbound = isUnbound || len(route.Regions) == 0
		for _, region := range route.Regions {
			if !slices.Contains(homes, region) {
				homes = append(homes, region)
			}
		}
	}
	return homes, isUnbound
}

// routesOf returns the routes of a host, longest prefix first.
func (r *Routing) routesOf(host string) []*Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return r.byHost[strings.ToLower(host)]
}
