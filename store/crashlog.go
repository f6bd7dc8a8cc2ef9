package store

import (
	"cmp"
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

const (
	// crashRowKey is the key of the row that has the crashes of all requests.
	crashRowKey savorystep.RowKey = "crashes"
	// maxCrashRowBytes bounds the row. The platform's rows have up to 64 KiB.
	maxCrashRowBytes = 32 << 10
	// maxCrashEdits bounds the edits of the row in one call. Each failed one means that
	// another instance has written it.
	maxCrashEdits = 16
)

var _ savorystep.CrashLog = &CrashLog{}

// A CrashLog keeps the crashes of requests in one row, which the instances replace under
// the condition that it has not changed.
type CrashLog struct {
	rows savorystep.Rows
}

// NewCrashLog returns a crash log in a table.
func NewCrashLog(rows savorystep.Rows) *CrashLog {
	return &CrashLog{rows: rows}
}

// Edit implements savorystep.CrashLog. If the row would become too large, the oldest
// crashes are dropped.
func (l *CrashLog) Edit(ctx context.Context, edit func([]savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool)) error {
	row, err := l.rows.Get(ctx, crashRowKey)
	if err != nil {
		return err
	}
	for range maxCrashEdits {
		crashes, isChanged := edit(decodeCrashRow(row))
		if !isChanged {
			return nil
		}
		value, err := encodeCrashRow(crashes)
		if err != nil {
			return err
		}
		result, err := l.rows.Commit(ctx, savorystep.Txn{
			Conditions: []savorystep.Condition{{Key: crashRowKey, Version: row.Version}},
			Writes:     []savorystep.Write{{Key: crashRowKey, Value: value}},
			Era:        row.Era,
		})
		switch {
		case err != nil:
			return err
		case result.Version != 0:
			return nil
		case result.IsOtherEra():
			return savorystep.NewError(savorystep.KindPlatformDown, "store came back from a copy while row %s was written", crashRowKey)
		}
		row = result.Conflicts[0]
	}
	return savorystep.NewError(savorystep.KindPlatformDown, "row %s was changed by others during each of %d edits", crashRowKey, maxCrashEdits)
}

// decodeCrashRow returns the crashes in a row. A row that can't be decoded has none and
// is replaced by the next edit.
func decodeCrashRow(row savorystep.Row) []savorystep.RequestCrashes {
	if len(row.Value) == 0 {
		return nil
	}
	var crashes []savorystep.RequestCrashes
	if err := cbor.Unmarshal(row.Value, &crashes); err != nil {
		log.Warningf("row %s at version %d can't be decoded and counts as empty: %v", row.Key, row.Version, err)
		return nil
	}
	return crashes
}

// encodeCrashRow encodes crashes, newest first. As long as the row is too large, it drops
// the oldest quarter.
func encodeCrashRow(crashes []savorystep.RequestCrashes) ([]byte, error) {
	slices.SortFunc(crashes, func(a, b savorystep.RequestCrashes) int {
		return cmp.Compare(b.LastCrashMillis, a.LastCrashMillis)
	})
	for kept := len(crashes); ; kept = kept * 3 / 4 {
		value, err := cbor.Marshal(crashes[:kept])
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindInternal, err, "encode row %s", crashRowKey)
		}
		if len(value) <= maxCrashRowBytes {
			if kept < len(crashes) {
				log.Warningf("row %s has no room for %d of the crashes of %d requests, the oldest", crashRowKey, len(crashes)-kept, len(crashes))
			}
			return value, nil
		}
	}
}
