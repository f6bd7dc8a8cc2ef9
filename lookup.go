package savorystep

import "time"

// A Lookup is the response to a caller's lookup of a name.
type Lookup struct {
	Service  Service  `json:"service"`
	Revision Revision `json:"revision"`
	Region   Region   `json:"region"`
	// TTL is how long the caller may cache the response. It is encoded as
	// TTLMillis.
	TTL time.Duration `json:"-"`
	// TTLMillis is the TTL in milliseconds.
	TTLMillis int64 `json:"lifetime"`
	// Entries are the instances to send requests to, in order of preference.
	Entries []Entry `json:"entries"`
}

// An Entry is an entry instance that a caller may send its requests to.
type Entry struct {
	ID      InstanceID `json:"id"`
	Address Address    `json:"address"`
	Zone    Zone       `json:"zone"`
}
