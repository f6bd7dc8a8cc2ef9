package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"savorystep"
)

// maxPageRows is the maximum number of rows in a page.
const maxPageRows = 10000

// stateEra states the era of the table in the responses to its calls.
func (p *Platform) stateEra(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.restoring.RLock()
		defer p.restoring.RUnlock()
		if table, ok := p.config.Table.(restorableTable); ok && table.Era() != 0 {
			w.Header().Set(savorystep.HeaderEra, strconv.FormatUint(uint64(table.Era()), 10))
		}
		next(w, r)
	}
}

func (p *Platform) postCommit(w http.ResponseWriter, r *http.Request) {
	var txn savorystep.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	p.rows.Add(uint64(len(txn.Writes)))
	loseResponse, delay := p.takeCommitFault()
	if delay > 0 {
		p.delayedCommits.Add(1)
		time.AfterFunc(delay, func() {
			defer p.delayedCommits.Done()
			_, _ = p.config.Table.Commit(context.Background(), txn)
		})
		http.Error(w, "commit is delayed", http.StatusInternalServerError)
		return
	}
	commit, err := p.config.Table.Commit(r.Context(), txn)
	switch {
	case err != nil:
		writeError(w, err)
	case loseResponse:
		http.Error(w, "response to the commit is lost", http.StatusInternalServerError)
	case commit.IsOtherEra():
		http.Error(w, fmt.Sprintf("the transaction is of era %d", txn.Era), http.StatusGone)
	default:
		writeJSON(w, commit)
	}
}

// takeCommitFault returns the fault of the next commit: whether its response is
// lost, or the delay until it takes effect.
func (p *Platform) takeCommitFault() (loseResponse bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.CommitDelayMillis > 0 {
		return false, milliseconds(p.faults.CommitDelayMillis)
	}
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		return true, 0
	}
	return false, 0
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.config.Table.Get(r.Context(), savorystep.RowKey(r.URL.Query().Get("key")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, row)
}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		http.Error(w, "limit must be 1 to "+strconv.Itoa(maxPageRows), http.StatusBadRequest)
		return
	}
	prefix, after := savorystep.RowKey(query.Get("prefix")), savorystep.RowKey(query.Get("after"))
	rows, err := p.config.Table.Scan(r.Context(), prefix, after, limit)
	if err != nil {
		writeError(w, err)
		return
	}
	if rows == nil {
		rows = []savorystep.Row{}
	}
	writeJSON(w, rows)
}
