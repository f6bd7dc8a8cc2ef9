package store

import (
	"context"
	"sort"

	"savorystep"
)

const (
	// pageSize is the number of rows or changes in one request.
	pageSize = 256
	// maxMissingChanges is the number of missing changes above which all
	// records are loaded instead.
	maxMissingChanges = 1024
)

// head reads the row of the head and its revision.
func (l *Log) head(ctx context.Context) (savorystep.Row, savorystep.Revision, error) {
	row, err := l.config.Table.Get(ctx, headKey)
	if err != nil {
		return row, 0, err
	}
	l.guard.observe(row.Era, l.config.Clock.Now())
	revision, err := decodeRevision(row)
	return row, revision, err
}

// catchUp brings the configuration in force to the revision of the head or a
// later one, from the table.
func (l *Log) catchUp(ctx context.Context, head savorystep.Revision) error {
	revision := l.View().Revision
	if head <= revision {
		return nil
	}
	if revision == 0 || head-revision > maxMissingChanges {
		changes, err := l.readRecords(ctx)
		if err != nil {
			return err
		}
		l.install(changes, "the table")
		return nil
	}
	changes, err := l.scanChanges(ctx, revision, head)
	if err != nil {
		return err
	}
	l.install(changes, "the table")
	return nil
}

// scanChanges reads the changes after a revision up to the head, and later ones
// if the last page contains them.
func (l *Log) scanChanges(ctx context.Context, after, head savorystep.Revision) ([]savorystep.Change, error) {
	var changes []savorystep.Change
	for after < head {
		rows, err := l.config.Table.Scan(ctx, changePrefix, changeKey(after), pageSize)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, malformedError("log", "change %d is missing below head %d", after+1, head)
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			if change.Revision != after+1 || row.Key != changeKey(change.Revision) {
				return nil, malformedError("log", "change %d after %d", change.Revision, after)
			}
			after = change.Revision
			changes = append(changes, change)
		}
	}
	return changes, nil
}

// readRecords reads the last change of each service. Changes may be accepted
// while the records are scanned, so it then reads the changes between the heads
// before and after the scan.
func (l *Log) readRecords(ctx context.Context) ([]savorystep.Change, error) {
	rowBefore, headBefore, err := l.head(ctx)
	if err != nil {
		return nil, err
	}
	latest, err := l.scanRecords(ctx)
	if err != nil {
		return nil, err
	}
	rowAfter, headAfter, err := l.head(ctx)
	if err != nil {
		return nil, err
	}
	if rowAfter.Era != rowBefore.Era {
		return nil, errRestoring
	}
	changesDuringScan, err := l.scanChanges(ctx, headBefore, headAfter)
	if err != nil {
		return nil, err
	}
	for _, change := range changesDuringScan {
		if change.Revision > latest[change.Service].Revision {
			latest[change.Service] = change
		}
		headAfter = max(headAfter, change.Revision)
	}
	changes := make([]savorystep.Change, 0, len(latest))
	for _, change := range latest {
		if change.Revision > headAfter {
			return nil, malformedError("log", "record of %q at revision %d above head %d", change.Service, change.Revision, headAfter)
		}
		changes = append(changes, change)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	if n := len(changes); n > 0 && changes[n-1].Revision != headAfter || n == 0 && headAfter > 0 {
		return nil, malformedError("log", "no record at head %d", headAfter)
	}
	return changes, nil
}

// scanRecords reads the rows of all records.
func (l *Log) scanRecords(ctx context.Context) (map[savorystep.Service]savorystep.Change, error) {
	latest := make(map[savorystep.Service]savorystep.Change)
	last := savorystep.RowKey("")
	for {
		rows, err := l.config.Table.Scan(ctx, recordPrefix, last, pageSize)
		if err != nil || len(rows) == 0 {
			return latest, err
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			if row.Key != recordKey(change.Service) {
				return nil, malformedError("log", "record of %q in row %q", change.Service, row.Key)
			}
			latest[change.Service] = change
			last = row.Key
		}
	}
}
