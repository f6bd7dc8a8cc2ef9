// Package caller serves callers: it answers their look-ups and takes their
// requests.
package caller
