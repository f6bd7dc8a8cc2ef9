package savorystep

import "time"

// ClientLimits bound what a caller may send and how long it may take. Zero
// means no limit.
type ClientLimits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}
