package savorystep

// An Address is an IP address and port, for example "127.0.0.1:7001".
type Address string
