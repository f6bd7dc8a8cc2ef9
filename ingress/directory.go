package ingress

import (
	"math/rand/v2"
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
		Name: "savorystep_ingress_lookups_total", Help: "Lookups of callers by the places of the instances in the result: region, all or none.",
	}, []string{"scope"})}
	if config.Registerer != nil {
		config.Registerer.MustRegister(d.lookups)
	}
	return d
}

// Addresses returns the caller addresses of the ready instances in region or, if
// there are none, in all regions. It returns a random selection of 64 if there
// are more.
func (d *Directory) Addresses(region savorystep.Region) []savorystep.Address {
	addresses, scope := readyAddresses(d.config.Members.Members(d.config.Clock.Now()), region)
	d.recordScope(region, scope)
	return addresses
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
	// scopeAll means all regions.
	scopeAll lookupScope = "all"
	// scopeNone means that no instance is ready.
	scopeNone lookupScope = "none"
)

// readyAddresses selects the addresses for a lookup from region.
func readyAddresses(members []savorystep.Member, region savorystep.Region) ([]savorystep.Address, lookupScope) {
	var inRegion, all []savorystep.Address
	for _, m := range members {
		if !m.Ready || m.Leaving || m.Instance.CallerAddress == "" {
			continue
		}
		all = append(all, m.Instance.CallerAddress)
		if m.Instance.Place.Region == region {
			inRegion = append(inRegion, m.Instance.CallerAddress)
		}
	}
	scope := scopeAll
	switch {
	case len(inRegion) > 0:
		all, scope = inRegion, scopeRegion
	case len(all) == 0:
		scope = scopeNone
	}
	if len(all) > maxAddresses {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:maxAddresses]
	}
	return all, scope
}

// LookupTTL is how long callers may cache the result of a lookup. Some cache it
// three times as long, which must stay below the time from SIGTERM to the end of
// the process.
const LookupTTL = 2 * time.Second
