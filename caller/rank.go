package caller

import (
	"github.com/zeebo/xxh3"

	"savorystep"
)

// rankScore returns the rendezvous score of an instance for a service in a
// region. The instance with the greatest score owns the pair; when an instance
// leaves, only the pairs that it owned move.
func rankScore(service savorystep.Service, region savorystep.Region, id savorystep.InstanceID) uint64 {
	var hasher xxh3.Hasher
	_, _ = hasher.WriteString(string(service))
	_, _ = hasher.WriteString("\x00")
	_, _ = hasher.WriteString(string(region))
	_, _ = hasher.WriteString("\x00")
	_, _ = hasher.WriteString(string(id))
	return hasher.Sum64()
}
