package cmd

import (
	"fmt"
	"io"
)

// printf writes formatted text to the output of a command. It ignores write errors:
// they mean that the reader has closed the output, such as the end of a pipe, which
// does not make the command fail.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
