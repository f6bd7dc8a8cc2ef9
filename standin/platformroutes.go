package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"savorystep"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 64 << 20

// newRouter returns the routes of the protocol. Faults apply to all calls except
// those that control the stand-in.
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
			router.Use(p.limitRate(p.readLimiter, &p.reads))
			router.Get("/endpoints", p.getEndpoints)
			router.Get("/instances", p.getInstances)
			router.Get("/objects/*", p.getObject)
			router.Get("/table/row", p.stateEra(p.getRow))
			router.Get("/table/rows", p.stateEra(p.getRows))
		})
		router.Group(func(router chi.Router) {
			router.Use(p.limitRate(p.writeLimiter, &p.writes))
			router.Post("/table/commit", p.stateEra(p.postCommit))
			router.Put("/objects/*", p.putObject)
		})
	})
	return router
}

// injectFaults delays calls, rejects them or leaves them without a response.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isSilent(r) {
			// The server detects the end of the connection only after the
			// request body has been read.
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

// limitRate rejects calls beyond the rate of a limiter with status 429 and counts
// the others.
func (p *Platform) limitRate(limiter *rate.Limiter, counter interface{ Add(uint64) uint64 }) func(http.Handler) http.Handler {
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

// postFaults replaces all faults by those in the body. Faults that the body
// doesn't name are cleared. An unknown name gets status 400.
func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := p.config.Table.(restorableTable); !ok && faults.RestoreMillis > 0 {
		http.Error(w, fmt.Sprintf("a table of type %T can't be restored", p.config.Table), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	writeJSON(w, faults)
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Stats())
}

// objectName returns the object name in the path of a request.
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
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
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
	serveRegistration(p, w, r, p.endpoints, string(endpoint.ID), endpoint.State, endpoint, ended)
}

func (p *Platform) postInstance(w http.ResponseWriter, r *http.Request) {
	var instance savorystep.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	instance.State = registeredState(instance.State)
	ended := instance
	ended.State = savorystep.StateEnded
	serveRegistration(p, w, r, p.instances, string(instance.ID), instance.State, instance, ended)
}

// registeredState returns the listed state of a registered member. The platform,
// not the member, lists a member as ended.
func registeredState(state savorystep.State) savorystep.State {
	if state == savorystep.StateLeaving {
		return savorystep.StateLeaving
	}
	return savorystep.StateLive
}

// serveRegistration lists a member while the request's connection is open. It
// responds with status 200 before it waits for the end of the connection, and
// with status 409 if the member is already listed as ended.
func serveRegistration[T any](
	p *Platform, w http.ResponseWriter, r *http.Request,
	list *memberList[T], id string, state savorystep.State, value, ended T,
) {
	if id == "" {
		http.Error(w, "member without ID", http.StatusBadRequest)
		return
	}
	if err := list.register(p.config.Clock.Now(), milliseconds(p.Faults().ListLagMillis), id, state, value); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	defer func() { list.unregister(p.config.Clock.Now(), id, ended) }()
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	<-r.Context().Done()
}

// readJSON decodes the request body into value. On failure it responds with
// status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeError responds with status 404 for an error of kind KindNotFound, else
// with status 500.
func writeError(w http.ResponseWriter, err error) {
	var e *savorystep.Error
	if errors.As(err, &e) && e.Kind == savorystep.KindNotFound {
		http.Error(w, e.Detail, http.StatusNotFound)
		return
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}
