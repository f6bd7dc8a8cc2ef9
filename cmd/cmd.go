// Package cmd implements the commands of the savorystep binary. Each command has a
// file of its own, named after it.
package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Main runs the command line with the given arguments, without the program name, and
// returns the exit code. SIGINT and SIGTERM cancel the context of the command.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCmd()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "savorystep:", err)
		return exitCode(err)
	}
	return exitOK
}
