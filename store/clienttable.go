package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"savorystep"
)

// Commit executes a transaction. It is sent only once: after an error, the
// caller must find out from the rows whether it took effect. The error has kind
// KindPlatformDown.
func (c *Client) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return savorystep.CommitResult{}, savorystep.WrapError(savorystep.KindInternal, err, "encode transaction as JSON")
	}
	result, err := c.call(ctx, http.MethodPost, "/table/commit", body, c.config.Timeout)
	if err != nil {
		return savorystep.CommitResult{}, err
	}
	if result.status == http.StatusGone && txn.Era != 0 {
		return savorystep.CommitResult{Era: result.era}, nil
	}
	if result.status != http.StatusOK {
		return savorystep.CommitResult{}, statusError(result)
	}
	commit, err := decodeCommit(result.body, txn)
	commit.Era = result.era
	setEra(commit.Conflicts, result.era)
	return commit, err
}

// Get reads a row. The error has kind KindPlatformDown.
func (c *Client) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	result, err := c.read(ctx, "/table/row?key="+url.QueryEscape(string(key)))
	if err != nil {
		return savorystep.Row{}, err
	}
	if result.status != http.StatusOK {
		return savorystep.Row{}, statusError(result)
	}
	row, err := decodeRow(result.body, key)
	row.Era = result.era
	return row, err
}

// Scan reads at most limit rows with a prefix, in key order, after a key. The
// error has kind KindPlatformDown.
func (c *Client) Scan(ctx context.Context, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	query := url.Values{
		"prefix": {string(prefix)},
		"after":  {string(after)},
		"limit":  {strconv.Itoa(limit)},
	}
	result, err := c.read(ctx, "/table/rows?"+query.Encode())
	if err != nil {
		return nil, err
	}
	if result.status != http.StatusOK {
		return nil, statusError(result)
	}
	rows, err := decodeRows(result.body, prefix, after, limit)
	setEra(rows, result.era)
	return rows, err
}

// setEra sets the era that a response stated in its rows.
func setEra(rows []savorystep.Row, era savorystep.StoreEra) {
	for i := range rows {
		rows[i].Era = era
	}
}

// malformedError returns the error for a response or a stored value that
// violates its format.
func malformedError(subject, format string, args ...any) error {
	err := savorystep.NewError(savorystep.KindPlatformDown, format, args...)
	err.Detail = "malformed " + subject + ": " + err.Detail
	return err
}

// decodeCommit decodes the response to a transaction. A success has a version
// and no conflicts; a conflict names rows from the transaction's conditions at
// other versions.
func decodeCommit(body []byte, txn savorystep.Txn) (savorystep.CommitResult, error) {
	var commit savorystep.CommitResult
	if err := json.Unmarshal(body, &commit); err != nil {
		return savorystep.CommitResult{}, malformedError("commit", "%v", err)
	}
	if len(commit.Conflicts) == 0 {
		if commit.Version == 0 {
			return savorystep.CommitResult{}, malformedError("commit", "neither a version nor conflicts")
		}
		return commit, nil
	}
	conditions := make(map[savorystep.RowKey]savorystep.RowVersion, len(txn.Conditions))
	for _, condition := range txn.Conditions {
		conditions[condition.Key] = condition.Version
	}
	for _, row := range commit.Conflicts {
		version, ok := conditions[row.Key]
		if !ok {
			return savorystep.CommitResult{}, malformedError("commit", "conflict on %q, which has no condition", row.Key)
		}
		if version == row.Version {
			return savorystep.CommitResult{}, malformedError("commit", "conflict on %q at the required version %d", row.Key, version)
		}
		if err := checkRow(row); err != nil {
			return savorystep.CommitResult{}, err
		}
	}
	return savorystep.CommitResult{Conflicts: commit.Conflicts}, nil
}

// decodeRow decodes the response to the read of a row.
func decodeRow(body []byte, key savorystep.RowKey) (savorystep.Row, error) {
	var row savorystep.Row
	if err := json.Unmarshal(body, &row); err != nil {
		return savorystep.Row{}, malformedError("row", "%v", err)
	}
	if row.Key != key {
		return savorystep.Row{}, malformedError("row", "key %q instead of %q", row.Key, key)
	}
	if err := checkRow(row); err != nil {
		return savorystep.Row{}, err
	}
	return row, nil
}

// decodeRows decodes a page of rows and checks their order, prefix and number.
func decodeRows(body []byte, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	var rows []savorystep.Row
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, malformedError("rows", "%v", err)
	}
	if len(rows) > limit {
		return nil, malformedError("rows", "%d rows instead of at most %d", len(rows), limit)
	}
	for _, row := range rows {
		if row.Key <= after || !strings.HasPrefix(string(row.Key), string(prefix)) {
			return nil, malformedError("rows", "key %q after %q in prefix %q", row.Key, after, prefix)
		}
		if row.Version == 0 {
			return nil, malformedError("rows", "row %q has no version", row.Key)
		}
		after = row.Key
	}
	return rows, nil
}

// checkRow rejects a missing row that has a value.
func checkRow(row savorystep.Row) error {
	if row.Version == 0 && len(row.Value) > 0 {
		return malformedError("row", "row %q has a value and no version", row.Key)
	}
	return nil
}
