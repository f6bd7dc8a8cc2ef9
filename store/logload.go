package store

import (
	"context"
	"sort"

	"savorystep"
)

const (
	// page is the number of rows or changes fetched at once.
	page = 256
	// maxBehind is the number of missing changes above which the records are
	// loaded instead.
	maxBehind = 1024
)

// head reads the revision of the head.
func (l *Log) head(ctx context.Context) (savorystep.Revision, error) {
	row, err := l.config.Table.Get(ctx, headKey)
	if err != nil {
		return 0, err
	}
	return decodeRevision(row)
}

// catchUp brings the configuration in force up to the head, or to a greater
// one, from the table.
func (l *Log) catchUp(ctx context.Context, head savorystep.Revision) error {
	revision := l.View().Revision
	if head <= revision {
		return nil
	}
	if revision == 0 || head-revision > maxBehind {
		return l.load(ctx)
	}
	changes, err := l.scanChanges(ctx, revision, head)
	if err != nil {
		return err
	}
	l.advance(changes, "the table")
	return nil
}

// scanChanges reads the changes after a revision up to the head.
func (l *Log) scanChanges(ctx context.Context, after, head savorystep.Revision) ([]savorystep.Change, error) {
	var changes []savorystep.Change
	for after < head {
		rows, err := l.config.Table.Scan(ctx, changePrefix, changeKey(after), page)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, malformed("log", "change %d is missing below head %d", after+1, head)
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			if change.Revision != after+1 || row.Key != changeKey(change.Revision) {
				return nil, malformed("log", "change %d after %d", change.Revision, after)
			}
			after = change.Revision
			changes = append(changes, change)
		}
	}
	return changes, nil
}

// load reads the last change of each service. Changes that are accepted while
// the records are scanned are read afterwards: the head before and after the
// scan says which.
func (l *Log) load(ctx context.Context) error {
	before, err := l.head(ctx)
	if err != nil {
		return err
	}
	latest, err := l.scanRecords(ctx)
	if err != nil {
		return err
	}
	after, err := l.head(ctx)
	if err != nil {
		return err
	}
	during, err := l.scanChanges(ctx, before, after)
	if err != nil {
		return err
	}
	for _, change := range during {
		if change.Revision > latest[change.Service].Revision {
			latest[change.Service] = change
		}
		after = max(after, change.Revision)
	}
	changes := make([]savorystep.Change, 0, len(latest))
	for _, change := range latest {
		if change.Revision > after {
			return malformed("log", "record of %q at revision %d above head %d", change.Service, change.Revision, after)
		}
		changes = append(changes, change)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	if n := len(changes); n > 0 && changes[n-1].Revision != after || n == 0 && after > 0 {
		return malformed("log", "no record at head %d", after)
	}
	l.advance(changes, "the table")
	return nil
}

// scanRecords reads the rows of all records.
func (l *Log) scanRecords(ctx context.Context) (map[savorystep.Service]savorystep.Change, error) {
	latest := make(map[savorystep.Service]savorystep.Change)
	last := savorystep.RowKey("")
	for {
		rows, err := l.config.Table.Scan(ctx, recordPrefix, last, page)
		if err != nil || len(rows) == 0 {
			return latest, err
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			if row.Key != recordKey(change.Service) {
				return nil, malformed("log", "record of %q in row %q", change.Service, row.Key)
			}
			latest[change.Service] = change
			last = row.Key
		}
	}
}
