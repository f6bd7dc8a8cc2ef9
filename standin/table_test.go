package standin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/standin"
)

// put writes a row and returns its version.
func put(t *testing.T, table *standin.Table, key savorystep.RowKey, value string) savorystep.RowVersion {
	t.Helper()
	commit, err := table.Commit(t.Context(), savorystep.Txn{Writes: []savorystep.Write{{Key: key, Value: []byte(value), Delete: value == ""}}})
	if err != nil {
		t.Fatal(err)
	}
	return commit.Version
}

// TestTableRestore guards against a restored table that keeps a change after its
// copy, loses one before it, does not give out versions again or states its era wrong.
func TestTableRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		put(t, table, "changed", "old")
		put(t, table, "deleted", "old")
		time.Sleep(time.Second)
		copied := table.Version()
		put(t, table, "changed", "new")
		put(t, table, "deleted", "")
		put(t, table, "inserted", "new")
		for era := savorystep.StoreEra(2); era <= 3; era++ {
			table.Restore(table.VersionAt(time.Now().Add(-time.Second)))
			rows, err := table.Scan(t.Context(), "", "", 10)
			if err != nil {
				t.Fatal(err)
			}
			want := []savorystep.Row{
				{Key: "changed", Version: 1, Value: []byte("old"), Era: era},
				{Key: "deleted", Version: 2, Value: []byte("old"), Era: era},
			}
			if len(rows) != len(want) || table.Version() != copied {
				t.Fatalf("%d rows at version %d in era %d, want %d at %d", len(rows), table.Version(), era, len(want), copied)
			}
			for i, row := range rows {
				if row.Key != want[i].Key || row.Version != want[i].Version || string(row.Value) != "old" || row.Era != era {
					t.Errorf("row %+v, want %+v", row, want[i])
				}
			}
			if version := put(t, table, "changed", "newer"); version != copied+1 {
				t.Errorf("version %d after the restore to %d, want one more", version, copied)
			}
		}
	})
}

// TestTableEraCondition guards against a transaction that meets its versions again in
// another era.
func TestTableEraCondition(t *testing.T) {
	table := standin.NewTable()
	put(t, table, "a", "1")
	txn := savorystep.Txn{
		Conditions: []savorystep.Condition{{Key: "a", Version: 1}},
		Writes:     []savorystep.Write{{Key: "a", Value: []byte("2")}},
		Era:        1,
	}
	table.Restore(0)
	put(t, table, "a", "other")
	commit, err := table.Commit(t.Context(), txn)
	if err != nil || !commit.IsOtherEra() || commit.Era != 2 {
		t.Errorf("Commit in another era = %+v, %v, want no effect and era 2", commit, err)
	}
	txn.Era = 2
	commit, err = table.Commit(t.Context(), txn)
	if err != nil || commit.Version != 2 {
		t.Errorf("Commit in the era of the table = %+v, %v, want version 2", commit, err)
	}
}

// TestPlatformRestore guards against a restore that can't be set as a fault, and
// against responses without the era.
func TestPlatformRestore(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{})
	txn := savorystep.Txn{Writes: []savorystep.Write{{Key: "a", Value: []byte("1")}}, Era: 1}
	for _, step := range []struct {
		method, path string
		body         any
		wantCode     int
		wantEra      string
	}{
		{method: http.MethodPost, path: "/table/commit", body: txn, wantCode: http.StatusOK, wantEra: "1"},
		{method: http.MethodGet, path: "/table/row?key=a", wantCode: http.StatusOK, wantEra: "1"},
		{method: http.MethodPost, path: "/faults", body: map[string]any{"restore": 60000}, wantCode: http.StatusOK},
		{method: http.MethodGet, path: "/table/rows?prefix=&after=&limit=1", wantCode: http.StatusOK, wantEra: "2"},
		{method: http.MethodPost, path: "/table/commit", body: txn, wantCode: http.StatusGone, wantEra: "2"},
	} {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), step.method, step.path, encodeBody(t, step.body)))
		if era := recorder.Header().Get(savorystep.HeaderEra); recorder.Code != step.wantCode || era != step.wantEra {
			t.Errorf("%s %s: status %d, era %q, want %d, %q", step.method, step.path, recorder.Code, era, step.wantCode, step.wantEra)
		}
	}
	var row savorystep.Row
	if call(t, p, http.MethodGet, "/table/row?key=a", nil, &row); row.Version != 0 {
		t.Errorf("row %+v after the restore, want none", row)
	}
}
