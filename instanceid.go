package savorystep

// An InstanceID names one process of savorystep. It is unique for each start
// of the process, so an ID is never used by two processes.
type InstanceID string
