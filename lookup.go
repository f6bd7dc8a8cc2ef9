package savorystep

import "time"

// A Lookup is the answer to a lookup.
type Lookup struct {
	Service  Service  `json:"service"`
	Revision Revision `json:"revision"`
	Region   Region   `json:"region"`
	// TTL is how long a caller may use the answer, in milliseconds on the
	// wire.
	TTL       time.Duration `json:"-"`
	TTLMillis int64         `json:"lifetime"`
	Entries   []Entry       `json:"entries"`
}

// An Entry is one entry instance of a lookup's answer, best first.
type Entry struct {
	ID      InstanceID `json:"id"`
	Address Address    `json:"address"`
	Zone    Zone       `json:"zone"`
}
