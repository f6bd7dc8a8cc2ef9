// Package operator serves and speaks the operators' HTTP protocol. It also
// reads the two file formats that operators write, settings and steering
// records, and renders the timeline.
package operator
