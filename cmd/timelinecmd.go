package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// timelineOptions are the options of the timeline command.
type timelineOptions struct {
	clientFlags

	filter          operator.EventFilter
	follow          bool
	htmlFile        string
	logFiles        []string
	logClockOffsets map[string]string
}

func newTimelineCmd() *cobra.Command {
	o := &timelineOptions{}
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show what happened on all instances, in causal order",
		Long: `Show the events that the instances keep, in causal order. The list of instances
comes from one server; instances that do not answer are named. Times are UTC
readings of the hybrid logical clock: an event that caused another one comes
first, even if the clocks of the instances differ.

With --log the events come from log files instead, as the instances on the users'
platform write them: all lines but those about single requests, equal lines of
several instances as one.`,
		Example: `  savorystep timeline --service status
  savorystep timeline --request 7f3c21 --html request.html
  savorystep timeline --follow --kind drain
  savorystep timeline --log edge-1.log --log edge-2.log --offset edge-2.log=-40ms`,
		RunE: func(cmd *cobra.Command, _ []string) error { return runTimelineCmd(cmd, o) },
	}
	o.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar((*string)(&o.filter.Kind), "kind", "", "show only events of a kind, for example drain")
	flags.StringVar((*string)(&o.filter.Region), "region", "", "show only events that concern a region")
	flags.StringVar((*string)(&o.filter.Request), "request", "", "show only events of a request id")
	flags.StringVar((*string)(&o.filter.Service), "service", "", "show only events that concern a service")
	flags.BoolVarP(&o.follow, "follow", "f", false, "keep on and show new events as they come")
	flags.StringVar(&o.htmlFile, "html", "", "write a page with a drawing to this file instead")
	flags.StringArrayVar(&o.logFiles, "log", nil, "read the events from this log `file`; can be given several times")
	flags.StringToStringVar(&o.logClockOffsets, "offset", nil, "`FILE=TIME` that is added to the times of a log, whose clock was that much behind")
	_ = cmd.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(eventKindNames(), cobra.ShellCompDirectiveNoFileComp))
	return withArgs(cmd, cobra.NoArgs)
}

func runTimelineCmd(cmd *cobra.Command, o *timelineOptions) error {
	if len(o.logFiles) > 0 {
		return printLogEvents(cmd.OutOrStdout(), o.logFiles, o.logClockOffsets)
	}
	if o.follow && o.htmlFile != "" {
		return usageError(cmd, errors.New("--follow and --html exclude each other"))
	}
	if kinds := eventKindNames(); o.filter.Kind != "" && !slices.Contains(kinds, string(o.filter.Kind)) {
		return usageError(cmd, fmt.Errorf("kind %q is unknown; allowed: %s", o.filter.Kind, strings.Join(kinds, ", ")))
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	if o.follow {
		return client.Follow(cmd.Context(), o.filter, func(update operator.FollowUpdate) { printFollowUpdate(cmd, o, update) })
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	timeline, err := client.Timeline(ctx, o.filter)
	if err != nil {
		return err
	}
	if o.htmlFile != "" {
		err = writeTimelinePage(cmd, o, timeline)
	} else {
		err = o.printResult(cmd, timeline, func(w io.Writer) {
			for _, event := range timeline.Events {
				printf(w, "%s\n", eventText(event, "\t"))
			}
		})
	}
	if err != nil {
		return err
	}
	for _, missing := range timeline.Missing {
		printf(cmd.ErrOrStderr(), "%s\n", missingText(missing))
	}
	if len(timeline.Missing) > 0 {
		return &partialError{fmt.Errorf("the events of %d of %d instances are missing", len(timeline.Missing), len(timeline.Missing)+len(timeline.Instances))}
	}
	return nil
}

func writeTimelinePage(cmd *cobra.Command, o *timelineOptions, timeline *operator.Timeline) error {
	file, err := os.Create(o.htmlFile)
	if err != nil {
		return savorystep.WrapError(savorystep.KindBadRequest, err, "create timeline page")
	}
	if err := timeline.WriteHTML(file, "savorystep timeline"); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	printf(cmd.OutOrStdout(), "%s: %d events of %d instances\n", o.htmlFile, len(timeline.Events), len(timeline.Instances))
	return nil
}

// printFollowUpdate prints one update of a followed timeline: an event, or an
// instance whose events are missing.
func printFollowUpdate(cmd *cobra.Command, o *timelineOptions, update operator.FollowUpdate) {
	switch {
	case o.outputFormat == outputJSON:
		_ = json.NewEncoder(cmd.OutOrStdout()).Encode(update)
	case update.Event != nil:
		printf(cmd.OutOrStdout(), "%s\n", eventText(*update.Event, "  "))
	case update.Missing != nil:
		printf(cmd.ErrOrStderr(), "%s\n", missingText(*update.Missing))
	}
}

func missingText(missing operator.MissingInstance) string {
	return fmt.Sprintf("missing: %s in %s: %s", missing.Instance.ID, missing.Instance.Place.Zone, missing.Reason)
}

// eventText formats an event as one line: time, instance, kind and text between
// separators, then the labels that are set as name=value.
func eventText(event savorystep.Event, separator string) string {
	parts := []string{
		time.Unix(0, event.Timestamp.Wall).UTC().Format("2006-01-02 15:04:05.000"),
		string(event.Instance), string(event.Kind), event.Text,
	}
	for _, label := range []struct{ name, value string }{
		{"service", string(event.Service)}, {"region", string(event.Region)}, {"request", string(event.Request)},
	} {
		if label.value != "" {
			parts = append(parts, label.name+"="+label.value)
		}
	}
	const tableColumns = 4
	return strings.Join(parts[:tableColumns], separator) + strings.Join(append([]string{""}, parts[tableColumns:]...), " ")
}

func eventKindNames() []string {
	kinds := operator.EventKinds()
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return names
}
