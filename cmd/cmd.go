// Package cmd holds the commands of savorystep, a file each.
package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Main runs the command line with the given arguments and returns the exit
// code.
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
