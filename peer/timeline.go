package peer

import (
	"cmp"
	"slices"

	"savorystep"
)

// MergeTimelines merges the events of several instances in causal order and
// removes duplicates. Events with equal timestamps are concurrent; they are
// ordered by instance.
func MergeTimelines(lists ...[]savorystep.Event) []savorystep.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b savorystep.Event) int {
		return cmp.Or(
			CompareTimestamps(a.Timestamp, b.Timestamp),
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Region, b.Region),
			cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Text, b.Text),
		)
	})
	return slices.Compact(merged)
}
