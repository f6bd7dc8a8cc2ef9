package ingress_test

import (
	"slices"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// lookupMembers returns members whose caller addresses are their names.
func lookupMembers() []savorystep.Member {
	member := func(name, region string, ready, leaving bool) savorystep.Member {
		return savorystep.Member{StatusFact: savorystep.StatusFact{
			Instance: savorystep.Instance{CallerAddress: savorystep.Address(name), Place: savorystep.Place{Region: savorystep.Region(region)}},
			Ready:    ready, Leaving: leaving,
		}}
	}
	return []savorystep.Member{
		member("leaving", "north", true, true), member("near", "north", true, false), member("unready", "north", false, false),
		member("far", "south", true, false), member("farther", "east", true, false),
	}
}

// TestDirectoryAddresses guards against sending callers to instances that are leaving
// or not ready, to another region while the own one has ready instances, and to a
// region that is no home of the host's routes.
func TestDirectoryAddresses(t *testing.T) {
	route := func(host, prefix string, homes ...savorystep.Region) *savorystep.Route {
		return &savorystep.Route{Name: savorystep.RouteName(host + prefix), Host: host, Prefix: prefix, Regions: homes, Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}}
	}
	routing := savorystep.NewRouting(1, []*savorystep.Route{
		route("free", "/"), route("bound", "/", "south", "west"), route("bound", "/2/", "south"), route("lost", "/", "west"),
		route("mixed", "/", "east"), route("mixed", "/2/"),
	}, nil, savorystep.ClientLimits{})
	cases := []struct {
		name, host, region string
		routing            *savorystep.Routing
		without            []savorystep.Address
		want               []savorystep.Address
	}{
		{name: "bound, in region", host: "bound:80", region: "north", routing: routing, want: []savorystep.Address{"near"}},
		{name: "bound, none in region", host: "bound:80", region: "west", routing: routing, want: []savorystep.Address{"far"}},
		{name: "bound, none in homes", host: "lost", region: "west", routing: routing},
		{name: "free, in region", host: "free", region: "north", routing: routing, want: []savorystep.Address{"near"}},
		{name: "free, none in region", host: "free", region: "west", routing: routing, want: []savorystep.Address{"far", "farther", "near"}},
		{name: "free, none ready", host: "free", region: "north", routing: routing, without: []savorystep.Address{"far", "farther", "near"}},
		{name: "mixed, none in region", host: "MIXED", region: "west", routing: routing, want: []savorystep.Address{"farther"}},
		{name: "mixed, none in homes", host: "mixed", region: "west", routing: routing, without: []savorystep.Address{"farther"}, want: []savorystep.Address{"far", "near"}},
		{name: "routes unknown, in region", host: "free", region: "north", want: []savorystep.Address{"near"}},
		{name: "routes unknown, none in region", host: "free", region: "west"},
		{name: "unknown host", host: "other", region: "west", routing: routing, want: []savorystep.Address{"far", "farther", "near"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			router := ingress.NewRouter(endpoint.Config{})
			if c.routing != nil {
				router.SetRouting(c.routing)
			}
			members := slices.DeleteFunc(lookupMembers(), func(m savorystep.Member) bool { return slices.Contains(c.without, m.Instance.CallerAddress) })
			directory := ingress.NewDirectory(ingress.DirectoryConfig{Clock: savorystep.SystemClock{}, Members: &fleetMembers{members: members}, Router: router})
			got, _ := directory.Lookup(c.host, savorystep.Region(c.region))
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("lookup of %s from %s names %v, want %v", c.host, c.region, got, c.want)
			}
		})
	}
}

// TestDirectoryLifetimeOutsideRegion guards against callers that send requests to
// instances in the former home of a route, because they cache a lookup that named them
// for longer than a change of the configuration may take to be in force. Some callers
// cache a lookup for three times its lifetime.
func TestDirectoryLifetimeOutsideRegion(t *testing.T) {
	const (
		limit     = 2500 * time.Millisecond
		lifetimes = 3
	)
	routing := savorystep.NewRouting(1, []*savorystep.Route{
		{Name: "bound", Host: "bound", Prefix: "/", Regions: []savorystep.Region{"south"}, Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "free", Host: "free", Prefix: "/", Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}},
	}, nil, savorystep.ClientLimits{})
	router := ingress.NewRouter(endpoint.Config{})
	router.SetRouting(routing)
	directory := ingress.NewDirectory(ingress.DirectoryConfig{Clock: savorystep.SystemClock{}, Members: &fleetMembers{members: lookupMembers()}, Router: router})
	for _, host := range []string{"bound", "free"} {
		addresses, ttl := directory.Lookup(host, "west")
		if len(addresses) == 0 || ttl <= 0 || lifetimes*ttl >= limit {
			t.Errorf("lookup of %s from a region without instances names %v for %v, want instances for less than a third of %v", host, addresses, ttl, limit)
		}
		if _, ttl := directory.Lookup(host, "north"); ttl != 2*time.Second {
			t.Errorf("lookup of %s from a region with instances lasts %v, want 2s", host, ttl)
		}
	}
}
