package cmd

import (
	"fmt"
	"io"
)

// printf writes to a command's output. A failed write means that the reader is
// gone, which is no failure of the command.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
