// Package entry is a client of savorystep's entry instances. It looks services
// up, caches the answers and sends requests again where that does no harm.
package entry
