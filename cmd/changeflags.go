package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// changeFlags are the flags of all commands that change records.
type changeFlags struct {
	clientFlags

	author         string
	dryRun         bool
	note           string
	waitForRollout bool
}

// addFlags adds the flags to a command.
func (f *changeFlags) addFlags(cmd *cobra.Command) {
	f.clientFlags.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&f.author, "author", cmp.Or(os.Getenv("USER"), "operator"), "who makes the change, for the history (env USER)")
	flags.BoolVar(&f.dryRun, "dry-run", false, "show what would change, but change nothing")
	flags.StringVar(&f.note, "note", "", "why the change is made, for the history")
	flags.BoolVar(&f.waitForRollout, "wait", true, "wait until all instances have the change in force")
}

// changeInfo returns the ID, author and note of a new change.
func (f *changeFlags) changeInfo() operator.ChangeInfo {
	return operator.ChangeInfo{ID: operator.NewChangeID(), Author: f.author, Note: f.note}
}

// editor returns the client, or with --dry-run an editor that only previews
// changes.
func (f *changeFlags) editor(client *operator.Client) operator.ConfigEditor {
	if f.dryRun {
		return client.DryRun()
	}
	return client
}

// A changeReport is the JSON output of a command that changes records.
type changeReport struct {
	Outcomes []operator.Outcome `json:"outcomes"`
	// Progress is nil if the command did not wait for the rollout.
	Progress *operator.RolloutProgress `json:"progress,omitempty"`
}

// reportOutcomes prints the outcomes and, unless --wait=false or --dry-run is
// given, waits until all instances have the newest revision in force. It returns
// an error if a service was not changed or the rollout did not finish in time.
func (f *changeFlags) reportOutcomes(ctx context.Context, cmd *cobra.Command, client *operator.Client, outcomes ...operator.Outcome) error {
	report := changeReport{Outcomes: outcomes}
	var newestRevision savorystep.Revision
	for _, outcome := range outcomes {
		newestRevision = max(newestRevision, outcome.Revision)
	}
	if f.outputFormat == outputTable {
		// Print the outcomes before waiting, because a rollout may take seconds.
		printOutcomes(cmd.OutOrStdout(), outcomes)
	}
	start := time.Now()
	if f.waitForRollout && !f.dryRun && newestRevision > 0 {
		deadline, _ := ctx.Deadline()
		progress, err := client.WaitForRevision(ctx, newestRevision, time.Until(deadline)-time.Second)
		if err != nil {
			return &partialError{fmt.Errorf("revision %d is accepted, but its rollout cannot be observed: %w", newestRevision, err)}
		}
		report.Progress = progress
	}
	if f.outputFormat == outputJSON {
		if err := printJSON(cmd, report); err != nil {
			return err
		}
	} else if report.Progress != nil {
		printRolloutProgress(cmd.OutOrStdout(), report.Progress, time.Since(start))
	}
	return report.incompleteError(newestRevision)
}

// incompleteError returns an error if services were not changed or the rollout of
// newestRevision is unfinished, and nil otherwise.
func (r *changeReport) incompleteError(newestRevision savorystep.Revision) error {
	var failed []string
	for _, outcome := range r.Outcomes {
		if outcome.Error != "" {
			failed = append(failed, string(outcome.Service))
		}
	}
	switch {
	case len(failed) == len(r.Outcomes) && len(r.Outcomes) > 0:
		return savorystep.NewError(savorystep.KindInternal, "no service was changed")
	case len(failed) > 0:
		return &partialError{fmt.Errorf("not changed: %s", strings.Join(failed, ", "))}
	case r.Progress != nil && !r.Progress.Done:
		return &partialError{fmt.Errorf("revision %d is accepted, but not yet in force on all instances", newestRevision)}
	}
	return nil
}

func printOutcomes(w io.Writer, outcomes []operator.Outcome) {
	for _, outcome := range outcomes {
		switch {
		case outcome.Error != "":
			printf(w, "%s: not changed: %s\n", outcome.Service, outcome.Error)
		case outcome.Unchanged:
			printf(w, "%s: nothing to change, version %d says so already\n", outcome.Service, outcome.BaseRevision)
		case outcome.DryRun:
			printf(w, "%s: would change version %d (dry run)\n", outcome.Service, outcome.BaseRevision)
		case outcome.BaseRevision == 0:
			printf(w, "%s: new, version %d\n", outcome.Service, outcome.Revision)
		default:
			printf(w, "%s: version %d replaces %d\n", outcome.Service, outcome.Revision, outcome.BaseRevision)
		}
		for line := range strings.Lines(outcome.Diff) {
			printf(w, "  %s", line)
		}
		for _, warning := range outcome.Warnings {
			printf(w, "  warning: %s\n", warning)
		}
	}
}

// printRolloutProgress prints for each region on how many instances a revision is
// in force, and lists the instances that do not have it.
func printRolloutProgress(w io.Writer, progress *operator.RolloutProgress, elapsed time.Duration) {
	var regions []savorystep.Region
	memberCounts, inForceCounts := map[savorystep.Region]int{}, map[savorystep.Region]int{}
	for _, m := range progress.Members {
		if memberCounts[m.Place.Region] == 0 {
			regions = append(regions, m.Place.Region)
		}
		memberCounts[m.Place.Region]++
		if m.Revision >= progress.Revision {
			inForceCounts[m.Place.Region]++
		}
	}
	regionTexts := make([]string, len(regions))
	for i, region := range regions {
		regionTexts[i] = fmt.Sprintf("%s %d of %d", region, inForceCounts[region], memberCounts[region])
	}
	printf(w, "revision %d is in force on %d of %d instances after %.1f s: %s\n", progress.Revision, progress.InForceCount(), len(progress.Members), elapsed.Seconds(), strings.Join(regionTexts, ", "))
	for _, m := range progress.LostMembers {
		printf(w, "  %s in %s is no longer heard; no lookup leads to it\n", m.ID, m.Place.Region)
	}
	for _, m := range progress.Members {
		switch {
		case m.Revision >= progress.Revision:
		case m.Leaving:
			printf(w, "  %s is leaving with revision %d\n", m.ID, m.Revision)
		default:
			printf(w, "  %s is behind with revision %d\n", m.ID, m.Revision)
		}
	}
}
