// Package caller serves callers: it answers their lookups and takes their
// requests.
package caller
