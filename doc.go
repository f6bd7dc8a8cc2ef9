// Package savorystep holds the interfaces, identifiers, units, records, facts
// and error kinds that the other packages of the global traffic steering
// system share. Implementations live in the packages below it.
package savorystep
