package caller

import (
	"github.com/zeebo/xxh3"

	"savorystep"
)

// rendezvousScore returns the rendezvous hash of an instance for a service in a region.
// The instance with the highest score owns the pair of service and region. When an
// instance leaves, only the pairs that it owned move to other owners.
func rendezvousScore(service savorystep.Service, region savorystep.Region, id savorystep.InstanceID) uint64 {
	var hasher xxh3.Hasher
	_, _ = hasher.WriteString(string(service))
	_, _ = hasher.WriteString("\x00")
	_, _ = hasher.WriteString(string(region))
	_, _ = hasher.WriteString("\x00")
	_, _ = hasher.WriteString(string(id))
	return hasher.Sum64()
}
