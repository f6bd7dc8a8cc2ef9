package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"savorystep"
)

// shiftFlags are the flags for the cap and the growth limit of a shift.
type shiftFlags struct {
	cap             int
	growthPerSecond int
}

// addFlags adds the flags to a command.
func (f *shiftFlags) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(&f.cap, "cap", 0, "most requests of a shift in flight at once over all instances, 0 for no cap of its own (default: as it is)")
	flags.IntVar(&f.growthPerSecond, "growth", 0, fmt.Sprintf("most percent points by which a shift grows per second, 0 for %d (default: as it is)", savorystep.DefaultGrowthPerSecond))
}

// limits returns the cap and the growth in percentage points per second, nil for
// a flag that is not given.
func (f *shiftFlags) limits(cmd *cobra.Command) (shiftCap *savorystep.Slots, growthPerSecond *int) {
	if cmd.Flags().Changed("cap") {
		n := savorystep.Slots(f.cap)
		shiftCap = &n
	}
	if cmd.Flags().Changed("growth") {
		growthPerSecond = &f.growthPerSecond
	}
	return shiftCap, growthPerSecond
}
