// Package savorystep defines the interfaces, identifiers, units, steering records,
// gossiped facts and error kinds that the other packages of the global traffic
// steering system share. The subpackages implement the interfaces.
package savorystep
