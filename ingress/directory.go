package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
)

// maxAddresses bounds the addresses in the result of a lookup.
const maxAddresses = 64

// DirectoryConfig configures a Directory.
type DirectoryConfig struct {
	Clock   savorystep.Clock
	Members savorystep.Members
	// Registerer registers the metrics, unless it is nil.
	Registerer prometheus.Registerer
	// Router has the routing, whose routes may bind requests to regions.
	Router *Router
}

// A Directory answers lookups of the instances that callers can connect to. It is
// safe for concurrent use.
type Directory struct {
	config  DirectoryConfig
	lookups *prometheus.CounterVec

	mu sync.Mutex
	// scopes holds the scope of the last lookup from each region.
	scopes map[savorystep.Region]lookupScope
}

// NewDirectory returns a directory and registers its metrics.
func NewDirectory(config DirectoryConfig) *Directory {
	d := &Directory{config: config, scopes: make(map[savorystep.Region]lookupScope), lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorystep_ingress_lookups_total", Help: "Lookups of callers by the places of the instances in the result: region, homes, all or none.",
	}, []string{"scope"})}
	if config.Registerer != nil {
		config.Registerer.MustRegister(d.lookups)
	}
	return d
}

// Lookup returns the caller addresses of ready instances for a lookup of a host
// from a region: those in the region or, if there are none, in the homes of the
// host's routes or, if a route has no homes, in all regions. It returns a random
// selection of 64 if there are more. Callers may cache the addresses for the time ttl.
func (d *Directory) Lookup(host string, region savorystep.Region) (addresses []savorystep.Address, ttl time.Duration) {
	lookup := lookup{region: region}
	// An instance that does not know the routes yet does not know their homes.
	if routing := d.config.Router.Routing(); routing != nil {
		lookup.homes, lookup.isUnbound = routing.Homes(host)
	}
	addresses, scope := readyAddresses(d.config.Members.Members(d.config.Clock.Now()), lookup)
	d.recordScope(region, scope)
	if scope == scopeRegion {
		return addresses, lookupTTL
	}
	return addresses, remoteLookupTTL
}

// recordScope counts a lookup and logs when the scope of lookups from a region
// changes.
func (d *Directory) recordScope(region savorystep.Region, scope lookupScope) {
	d.lookups.WithLabelValues(string(scope)).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scopes[region] != scope {
		d.scopes[region] = scope
		log.Infof("lookups from region %q get instances of scope %s", region, scope)
	}
}

// A lookupScope is the set of places from which a lookup gets instances.
type lookupScope string

const (
	// scopeRegion means the caller's region.
	scopeRegion lookupScope = "region"
	// scopeHomes means the homes of the host's routes.
	scopeHomes lookupScope = "homes"
	// scopeAll means all regions.
	scopeAll lookupScope = "all"
	// scopeNone means that no instance may be named.
	scopeNone lookupScope = "none"
)

// A lookup is a caller's lookup of a host.
type lookup struct {
	region savorystep.Region
	// homes and isUnbound are those of the host, see savorystep.Routing.
	homes     []savorystep.Region
	isUnbound bool
}

// scopeOf returns the narrowest scope that includes a region.
func (l *lookup) scopeOf(region savorystep.Region) lookupScope {
	switch {
	case region == l.region:
		return scopeRegion
	case slices.Contains(l.homes, region):
		return scopeHomes
	case l.isUnbound:
		return scopeAll
	default:
		return scopeNone
	}
}

// readyAddresses selects the addresses for a lookup from the narrowest scope that has
// ready instances.
func readyAddresses(members []savorystep.Member, lookup lookup) ([]savorystep.Address, lookupScope) {
	byScope := make(map[lookupScope][]savorystep.Address)
	for _, m := range members {
		if !m.Ready || m.Leaving || m.Instance.CallerAddress == "" {
			continue
		}
		scope := lookup.scopeOf(m.Instance.Place.Region)
		byScope[scope] = append(byScope[scope], m.Instance.CallerAddress)
	}
	for _, scope := range []lookupScope{scopeRegion, scopeHomes, scopeAll} {
		addresses := byScope[scope]
		if len(addresses) == 0 {
			continue
		}
		if len(addresses) > maxAddresses {
			rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
			addresses = addresses[:maxAddresses]
		}
		return addresses, scope
	}
	return nil, scopeNone
}

const (
	// lookupTTL is how long callers may cache the result of a lookup. Some cache it
	// three times as long, which must stay below the time from SIGTERM to the end of
	// the process.
	lookupTTL = 2 * time.Second
	// remoteLookupTTL is the same for instances outside the caller's region. The homes
	// of a route may change, and callers that cache the result three times as long must
	// not use the former homes for longer than a change of the configuration may take,
	// 2.5 s.
	remoteLookupTTL = 500 * time.Millisecond
)
