// Package stdout writes log lines to standard output without blocking the
// goroutines that log. If the reader of the output is too slow, it drops lines.
package stdout
