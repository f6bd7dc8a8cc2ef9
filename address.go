package savorystep

// An Address is an IP number and port, for example "127.0.0.1:7001".
type Address string
