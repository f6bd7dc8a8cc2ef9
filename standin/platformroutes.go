package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"savorystep"
)

// maxRequest bounds a request body in bytes.
const maxRequest = 64 << 20

// maxPage bounds a page of rows.
const maxPage = 10000

// newRouter routes the protocol. Faults apply to all calls but those that
// control the stand-in.
func (p *Platform) newRouter() chi.Router {
	router := chi.NewRouter()
	router.Get("/faults", p.getFaults)
	router.Post("/faults", p.postFaults)
	router.Get("/stats", p.getStats)
	router.Group(func(router chi.Router) {
		router.Use(p.injectFaults)
		router.Post("/endpoints", p.postEndpoint)
		router.Post("/instances", p.postInstance)
		router.Group(func(router chi.Router) {
			router.Use(p.limit(p.readLimiter, &p.reads))
			router.Get("/endpoints", p.getEndpoints)
			router.Get("/instances", p.getInstances)
			router.Get("/objects/*", p.getObject)
			router.Get("/table/row", p.getRow)
			router.Get("/table/rows", p.getRows)
		})
		router.Group(func(router chi.Router) {
			router.Use(p.limit(p.writeLimiter, &p.writes))
			router.Post("/table/commit", p.postCommit)
			router.Put("/objects/*", p.putObject)
		})
	})
	return router
}

// injectFaults keeps silent, delays or refuses.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isSilent(r) {
			// The body is read because the server watches the connection's end
			// only once no more of the request is to come.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		faults := p.Faults()
		if !savorystep.Sleep(r.Context(), milliseconds(faults.DelayMillis)) {
			panic(http.ErrAbortHandler)
		}
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limit refuses calls beyond a rate and counts the others.
func (p *Platform) limit(limiter *rate.Limiter, counter interface{ Add(uint64) uint64 }) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !limiter.Allow() {
				p.refused.Add(1)
				http.Error(w, "too many calls", http.StatusTooManyRequests)
				return
			}
			counter.Add(1)
			next.ServeHTTP(w, r)
		})
	}
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Faults())
}

// postFaults replaces the faults by those that the body names.
func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	writeJSON(w, faults)
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Stats())
}

func (p *Platform) postCommit(w http.ResponseWriter, r *http.Request) {
	var txn savorystep.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	p.rows.Add(uint64(len(txn.Writes)))
	lose, late := p.takeCommitFault()
	if late > 0 {
		p.late.Add(1)
		time.AfterFunc(late, func() {
			defer p.late.Done()
			_, _ = p.config.Table.Commit(context.Background(), txn)
		})
		http.Error(w, "the commit is late", http.StatusInternalServerError)
		return
	}
	commit, err := p.config.Table.Commit(r.Context(), txn)
	switch {
	case err != nil:
		writeError(w, err)
	case lose:
		http.Error(w, "the answer is lost", http.StatusInternalServerError)
	default:
		writeJSON(w, commit)
	}
}

// takeCommitFault reports which fault the next commit meets.
func (p *Platform) takeCommitFault() (lose bool, late time.Duration) {
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
	if err != nil || limit < 1 || limit > maxPage {
		http.Error(w, "limit must be 1 to "+strconv.Itoa(maxPage), http.StatusBadRequest)
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

// objectName returns the name of the object that a request is for.
func objectName(r *http.Request) (savorystep.ObjectName, error) {
	name, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"))
	return savorystep.ObjectName(name), err
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := p.config.Objects.Get(r.Context(), name)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.config.Objects.Put(r.Context(), name, value); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getEndpoints(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.endpoints.list(p.config.Clock.Now(), milliseconds(p.Faults().ListLagMillis)))
}

func (p *Platform) getInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.instances.list(p.config.Clock.Now(), milliseconds(p.Faults().ListLagMillis)))
}

func (p *Platform) postEndpoint(w http.ResponseWriter, r *http.Request) {
	var endpoint savorystep.Endpoint
	if !readJSON(w, r, &endpoint) {
		return
	}
	endpoint.State = registeredState(endpoint.State)
	ended := endpoint
	ended.State = savorystep.StateEnded
	holdMember(p, w, r, p.endpoints, string(endpoint.ID), endpoint.State, endpoint, ended)
}

func (p *Platform) postInstance(w http.ResponseWriter, r *http.Request) {
	var instance savorystep.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	instance.State = registeredState(instance.State)
	ended := instance
	ended.State = savorystep.StateEnded
	holdMember(p, w, r, p.instances, string(instance.ID), instance.State, instance, ended)
}

// registeredState returns the state of a member that holds a registration.
func registeredState(state savorystep.State) savorystep.State {
	if state == savorystep.StateLeaving {
		return savorystep.StateLeaving
	}
	return savorystep.StateLive
}

// holdMember lists a member and keeps the request open until its connection
// ends.
func holdMember[T any](
	p *Platform, w http.ResponseWriter, r *http.Request,
	list *memberList[T], id string, state savorystep.State, value, ended T,
) {
	if id == "" {
		http.Error(w, "member without ID", http.StatusBadRequest)
		return
	}
	if err := list.hold(p.config.Clock.Now(), milliseconds(p.Faults().ListLagMillis), id, state, value); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	defer func() { list.release(p.config.Clock.Now(), id, ended) }()
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	<-r.Context().Done()
}

// readJSON decodes a request body or answers with status 400.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeError answers with the status of an error's kind.
func writeError(w http.ResponseWriter, err error) {
	var e *savorystep.Error
	if errors.As(err, &e) && e.Kind == savorystep.KindNotFound {
		http.Error(w, e.Detail, http.StatusNotFound)
		return
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}
