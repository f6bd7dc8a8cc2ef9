package savorystep

import "time"

// ClientLimits bound the size of a caller's requests, the time to receive a request
// header and the time for which a connection may be idle. Sizes are in bytes. A zero
// value means no limit. Fields are encoded under their Go names.
type ClientLimits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}
