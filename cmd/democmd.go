package cmd

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/standin"
)

// newDemoCmd returns the demo command.
func newDemoCmd() *cobra.Command {
	var stay bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Check the main functions on stand-ins in one process",
		Long: "Check the main functions on stand-ins in one process on loopback: a misspelled\n" +
			"name, a correction, a keyed request, a capped shift, a drain and a graceful\n" +
			"stop. The exit code is 0 only if every check held.",
		Example: "  savorystep demo\n  savorystep demo --stay",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDemoCmd(cmd.Context(), cmd.OutOrStdout(), stay)
		},
	}
	cmd.Flags().BoolVar(&stay, "stay", false, "leave the first site running and print its addresses")
	return cmd
}

// runDemoCmd runs the demo on the shapes of both sites. It returns an error if a check
// failed. With stay it then leaves the first site running until ctx ends.
func runDemoCmd(ctx context.Context, out io.Writer, stay bool) error {
	failedCount := 0
	corrente, err := newDemo(ctx, out, standin.Corrente())
	if err != nil {
		return err
	}
	defer corrente.Close()
	failedCount += corrente.run(ctx, corrente.checkNames, corrente.checkIdempotencyKey, corrente.checkShift, corrente.checkGracefulStop)
	corrente.printTimeline()
	huon, err := newDemo(ctx, out, standin.Huon())
	if err != nil {
		return err
	}
	defer huon.Close()
	failedCount += huon.run(ctx, huon.checkDrain)
	huon.printTimeline()
	if failedCount > 0 {
		return savorystep.NewError(savorystep.KindInternal, "%d checks of the demo failed", failedCount)
	}
	printf(out, "All checks held.\n")
	if stay {
		corrente.printAddresses()
		<-ctx.Done()
	}
	return nil
}
