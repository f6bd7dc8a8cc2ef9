package cmd

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
)

// newClearCmd returns the command that ends the quarantine of a request.
func newClearCmd() *cobra.Command {
	var gatewayAddress string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:     "clear FINGERPRINT",
		Short:   "Clear the crashes of a request at all gateways, which ends its quarantine",
		Example: "  savorystep clear c296eff9f9807e18 --gateway 10.5.64.8:9100",
		RunE: func(cmd *cobra.Command, args []string) error {
			fingerprint, err := savorystep.ParseFingerprint(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			if err := clearGatewayCrashes(ctx, savorystep.Address(gatewayAddress), fingerprint); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "request %s is forwarded again\n", fingerprint)
			return nil
		},
	}
	cmd.Flags().StringVar(&gatewayAddress, "gateway", "", "metrics address of any gateway")
	cmd.Flags().DurationVar(&timeout, "timeout", maxAttemptTimeout, "longest time that the command takes")
	if err := cmd.MarkFlagRequired("gateway"); err != nil {
		panic(err)
	}
	return withArgs(cmd, cobra.ExactArgs(1))
}
