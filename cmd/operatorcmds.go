package cmd

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// operatorCmds returns the commands for operators. Their help texts end with the
// exit codes.
func operatorCmds() []*cobra.Command {
	cmds := []*cobra.Command{
		newApplyCmd(),
		newCheckCmd(),
		newClearCmd(),
		newCorrectCmd(),
		newDiffCmd(),
		newDrainCmd(),
		newExplainCmd(),
		newGetCmd(),
		newHistoryCmd(),
		newListCmd(),
		newSettingsCmd(),
		newShiftCmd(),
		newStatusCmd(),
		newTimelineCmd(),
		newUndoCmd(),
		newUnknownCmd(),
	}
	for _, cmd := range cmds {
		if cmd.Long == "" {
			cmd.Long = cmd.Short + "."
		}
		cmd.Long += "\n\n" + exitCodeText()
	}
	return cmds
}

// exitCodeText returns the list of exit codes for the help texts.
func exitCodeText() string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "\n  %d  %s", e.code, e.meaning)
	}
	return b.String()
}
