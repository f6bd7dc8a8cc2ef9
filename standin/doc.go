// Package standin holds stand-ins of the outside systems: the platform's
// table, objects and instance list, and upstream services. Their faults can be
// switched on while they run.
package standin
