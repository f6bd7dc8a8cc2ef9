package ingress

import (
	"math/rand/v2"
	"time"

	"savorystep"
)

// maxAddresses is how many addresses an answer to a lookup has at most.
const maxAddresses = 64

// A Directory says which instances callers may connect to.
type Directory struct {
	Members savorystep.Members
	Clock   savorystep.Clock
}

// Addresses returns the addresses of the ready instances of a region or, if there
// are none, of all regions.
func (d *Directory) Addresses(region savorystep.Region) []savorystep.Address {
	return readyAddresses(d.Members.Members(d.Clock.Now()), region)
}

// readyAddresses chooses among members.
func readyAddresses(members []savorystep.Member, region savorystep.Region) []savorystep.Address {
	var near, all []savorystep.Address
	for _, m := range members {
		if !m.Ready || m.Leaving || m.Instance.CallerAddress == "" {
			continue
		}
		all = append(all, m.Instance.CallerAddress)
		if m.Instance.Place.Region == region {
			near = append(near, m.Instance.CallerAddress)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) > maxAddresses {
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:maxAddresses]
	}
	return all
}

// LookupTTL is how long callers may use an answer. Some use it three times as
// long, which has to stay below the time from SIGTERM to the end.
const LookupTTL = 2 * time.Second
