// Package simulation runs callers, instances and endpoints in virtual time without
// a network. The instances choose endpoints with package endpoint, so that tests
// and experiments show the effect of its choices under load. A run is determined
// by its scenario, seed and policy.
package simulation
