package cmd

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"savorystep"
)

func newListCmd() *cobra.Command {
	o := &clientFlags{}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all records",
		Example: `  savorystep list
  savorystep list --output json`,
		RunE: func(cmd *cobra.Command, _ []string) error { return runListCmd(cmd, o) },
	}
	o.addFlags(cmd)
	return withArgs(cmd, cobra.NoArgs)
}

func runListCmd(cmd *cobra.Command, o *clientFlags) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	records, err := client.Records(ctx)
	if err != nil {
		return err
	}
	return o.printResult(cmd, records, func(w io.Writer) {
		printf(w, "%s\n", "SERVICE\tVERSION\tSCHEMA\tNAMES\tSHARES\tSHIFTS")
		for _, r := range records {
			printf(w, "%s\t%d\t%d\t%d\t%s\t%s\n", r.Service, r.RecordRevision, r.Record.Schema, len(r.Record.Aliases), shareWeightsText(r.Record), shiftsText(r.Record))
		}
	})
}

// shareWeightsText returns the sum of the share weights of each region.
func shareWeightsText(record *savorystep.Record) string {
	var regions []savorystep.Region
	weightByRegion := map[savorystep.Region]int{}
	for _, share := range record.Shares {
		if _, ok := weightByRegion[share.Region]; !ok {
			regions = append(regions, share.Region)
		}
		weightByRegion[share.Region] += share.Weight
	}
	texts := make([]string, len(regions))
	for i, region := range regions {
		texts[i] = fmt.Sprintf("%s %d", region, weightByRegion[region])
	}
	return strings.Join(texts, ", ")
}

func shiftsText(record *savorystep.Record) string {
	texts := make([]string, len(record.Shifts))
	for i, shift := range record.Shifts {
		texts[i] = fmt.Sprintf("%s to %s %d%%", shift.From, shift.To, shift.Percent)
	}
	return strings.Join(texts, ", ")
}
