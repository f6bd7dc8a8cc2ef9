// Package standin has stand-ins of the systems around an instance: the platform with
// its table, object store and lists of instances and endpoints, and upstream
// endpoints. Their faults can be changed while they run.
package standin
