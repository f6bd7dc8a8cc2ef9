// Package operator implements the operators' HTTP API, as the server of an
// instance and as a client. It also parses the two file formats that operators
// write, settings and steering records, and renders the timeline of events.
package operator
