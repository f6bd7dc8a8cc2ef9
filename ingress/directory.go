package ingress

import (
	"math/rand/v2"
	"time"

	"savorystep"
)

// maxAddresses bounds the addresses in the result of a lookup.
const maxAddresses = 64

// A Directory answers lookups of the instances that callers can connect to.
type Directory struct {
	Members savorystep.Members
	Clock   savorystep.Clock
}

// Addresses returns the caller addresses of the ready instances in region or, if
// there are none, in all regions. It returns a random selection of 64 if there
// are more.
func (d *Directory) Addresses(region savorystep.Region) []savorystep.Address {
	return readyAddresses(d.Members.Members(d.Clock.Now()), region)
}

// readyAddresses selects the addresses for a lookup from region.
func readyAddresses(members []savorystep.Member, region savorystep.Region) []savorystep.Address {
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
	if len(inRegion) > 0 {
		all = inRegion
	}
	if len(all) > maxAddresses {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:maxAddresses]
	}
	return all
}

// LookupTTL is how long callers may cache the result of a lookup. Some cache it
// three times as long, which must stay below the time from SIGTERM to the end of
// the process.
const LookupTTL = 2 * time.Second
