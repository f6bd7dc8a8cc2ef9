package savorystep

// A Region is the name of a group of availability zones, for example "recife".
type Region string
