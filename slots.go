package savorystep

// Slots counts requests that an endpoint can run at the same time.
type Slots int
