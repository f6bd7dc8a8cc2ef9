package savorystep

// An InstanceID identifies a savorystep process. Each start of the process gets a
// new ID, so no two processes ever share one.
type InstanceID string
