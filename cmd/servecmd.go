package cmd

import (
	"context"
	"flag"
	"strconv"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"savorystep/operator"
)

// newServeCmd returns the serve command.
func newServeCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run an entry instance",
		Example: "  savorystep serve --config entry.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runServeCmd(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings `file`")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// runServeCmd runs an instance with the settings file at path until ctx ends.
func runServeCmd(ctx context.Context, path string) error {
	settings, err := operator.LoadSettings(path)
	if err != nil {
		return err
	}
	if err := setVerbosity(settings.Log.Verbosity); err != nil {
		return err
	}
	opened, err := openListeners(ctx, settings)
	if err != nil {
		return err
	}
	defer opened.close()
	inst, err := buildInstance(instanceConfig{Settings: settings, Listeners: opened})
	if err != nil {
		return err
	}
	return inst.Run(ctx)
}

// setVerbosity sets the verbosity of klog.
func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}
