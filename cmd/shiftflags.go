package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"savorystep"
)

// shiftFlags are the flags that limit a shift.
type shiftFlags struct {
	limit  int
	growth int
}

// add declares the flags.
func (f *shiftFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&f.limit, "cap", 0, "most requests of a shift in flight at once over all instances, 0 for no cap of its own (default: as it is)")
	flags.IntVar(&f.growth, "growth", 0, fmt.Sprintf("most percent points by which a shift grows per second, 0 for %d (default: as it is)", savorystep.DefaultGrowthPerSecond))
}

// limits returns the values of the flags, nil for those that are not given.
func (f *shiftFlags) limits(cmd *cobra.Command) (limit *savorystep.Slots, growth *int) {
	if cmd.Flags().Changed("cap") {
		n := savorystep.Slots(f.limit)
		limit = &n
	}
	if cmd.Flags().Changed("growth") {
		growth = &f.growth
	}
	return limit, growth
}
