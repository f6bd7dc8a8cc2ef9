package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"savorystep"
)

const log savorystep.Logger = "operator"

// maxBodyBytes bounds the body of a request. It admits every record that may be in a
// file.
const maxBodyBytes = maxFileBytes

// A ServerConfig holds the dependencies and settings of a server.
type ServerConfig struct {
	Clock     savorystep.Clock
	Config    savorystep.Config
	Endpoints savorystep.Endpoints
	Facts     savorystep.Facts
	Members   savorystep.Members
	Recorder  savorystep.EventRecorder
	Self      savorystep.Instance

	// CheckReady returns nil if the instance serves callers, otherwise the reason why
	// not.
	CheckReady func() error
	// ExplainLookup returns how a lookup of a name by a client from a region or an IP
	// address is decided. The result is encoded as JSON.
	ExplainLookup func(name, from string) (any, error)

	// Gatherer collects the metrics that /metrics serves. If nil there is no such path.
	Gatherer prometheus.Gatherer
	// Registerer registers the server's own metrics. It may be nil.
	Registerer prometheus.Registerer

	// Token is the bearer token of operators. If empty, no token is accepted.
	Token string
	// VerifyClientCerts is true if the listener verifies client certificates. A
	// request with a verified certificate needs no token.
	VerifyClientCerts bool
	// Shutdown is closed when the instance shuts down. It ends event streams and waits
	// for a revision, which would otherwise delay the shutdown. It may be nil.
	Shutdown <-chan struct{}
}

// A server handles the requests of the operators' API.
type server struct {
	ServerConfig

	requests *prometheus.CounterVec
}

// NewServer returns the handler of the operators' listener. With neither Token nor
// VerifyClientCerts it rejects every request.
func NewServer(config ServerConfig) http.Handler {
	s := &server{
		ServerConfig: config,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savorystep_operator_requests_total",
			Help: "Requests of operators by route and error kind.",
		}, []string{"route", "kind"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(s.requests)
	}
	r := chi.NewRouter()
	r.Use(middleware.Recoverer, s.authorize)
	r.NotFound(s.jsonHandler(func(*http.Request) (any, error) {
		return nil, savorystep.NewError(savorystep.KindNotFound, "no such path")
	}))
	s.addRoutes(r)
	return r
}

func (s *server) addRoutes(r chi.Router) {
	r.Get("/healthz", s.jsonHandler(func(*http.Request) (any, error) { return healthBody{Status: "ok"}, nil }))
	r.Get("/readyz", s.jsonHandler(s.getReady))
	if s.Gatherer != nil {
		r.Handle("/metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	}
	r.Route("/v1", func(r chi.Router) {
		r.Get("/records", s.jsonHandler(s.listRecords))
		r.Get("/records/{service}", s.jsonHandler(s.getRecord))
		r.Get("/history", s.jsonHandler(s.getHistory))
		r.Get("/diff/{service}", s.jsonHandler(s.getDiff))
		r.Get("/status", s.jsonHandler(s.getStatus))
		r.Get("/unknown", s.jsonHandler(s.getUnknown))
		r.Get("/explain", s.jsonHandler(s.getExplain))
		r.Get("/wait", s.jsonHandler(s.getWait))
		r.Get("/events", s.getEvents)
		r.Post("/apply", s.jsonHandler(changeHandler(s, ConfigEditor.Apply)))
		r.Post("/undo", s.jsonHandler(changeHandler(s, ConfigEditor.Undo)))
		r.Post("/shift", s.jsonHandler(changeHandler(s, ConfigEditor.Shift)))
		r.Post("/drain", s.jsonHandler(changeHandler(s, ConfigEditor.Drain)))
		r.Post("/correct", s.jsonHandler(changeHandler(s, ConfigEditor.Correct)))
	})
}

// changeTimeout bounds the time to apply a change. It is shorter than the time that
// clients allow for one attempt, so that they get an error from the server while the
// platform is down.
const changeTimeout = 3 * time.Second

// healthBody is the JSON body of responses to /healthz and /readyz.
type healthBody struct {
	Status string `json:"status"`
}

func (s *server) getReady(*http.Request) (any, error) {
	if err := s.CheckReady(); err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "the instance is not ready")
	}
	return healthBody{Status: "ready"}, nil
}

// configEditor returns the editor for a request: one that applies changes or, with the
// query dry=true, one that makes a dry run.
func (s *server) configEditor(r *http.Request) ConfigEditor {
	editor := &configEditor{clock: s.Clock, config: s.Config, endpoints: s.Endpoints, members: s.Members, recordEvent: s.Recorder.Record}
	if dry, _ := strconv.ParseBool(r.URL.Query().Get("dry")); dry {
		editor.dryRun = true
		editor.config = &DryRunConfig{Config: s.Config}
		editor.recordEvent = func(savorystep.Event) {}
	}
	return editor
}

// changeHandler returns the handler of a change that is requested in JSON. Errors after
// which the change may have been applied become an unknownOutcomeError.
func changeHandler[Request, Result any](s *server, makeChange func(ConfigEditor, context.Context, Request) (Result, error)) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		var request Request
		if err := readJSON(r, &request); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		result, err := makeChange(s.configEditor(r), ctx, request)
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			return result, nil
		case savorystep.KindPlatformDown, savorystep.KindDeadlineExceeded, savorystep.KindInternal:
			return nil, &unknownOutcomeError{err}
		default:
			return nil, err
		}
	}
}

func (s *server) listRecords(*http.Request) (any, error) {
	view := s.Config.View()
	list := make([]RecordStatus, 0, len(view.Records))
	for _, service := range sortedServices(view) {
		list = append(list, RecordStatus{
			Service: service, RecordRevision: view.RecordRevisions[service], ConfigRevision: view.Revision, Record: view.Records[service],
		})
	}
	return list, nil
}

// maxHistoryLimit bounds the changes in a response. It covers more history than
// operators usually need.
const maxHistoryLimit = 1000

func (s *server) getStatus(*http.Request) (any, error) {
	now := s.Clock.Now()
	view := s.Config.View()
	status := Status{Self: s.Self, Ready: true, Revision: view.Revision, Members: s.memberStatuses(now), Services: []ServiceStatus{}}
	if err := s.CheckReady(); err != nil {
		status.Ready, status.Reason = false, err.Error()
	}
	for _, service := range sortedServices(view) {
		serviceStatus := ServiceStatus{Service: service, RecordRevision: view.RecordRevisions[service], Regions: []savorystep.RegionLoad{}}
		if s.Endpoints != nil {
			serviceStatus.Regions = append(serviceStatus.Regions, s.Endpoints.RegionLoads(service, now)...)
		}
		status.Services = append(status.Services, serviceStatus)
	}
	return status, nil
}

func (s *server) memberStatuses(now time.Time) []MemberStatus {
	members := s.Members.Members(now)
	list := make([]MemberStatus, len(members))
	for i, m := range members {
		list[i] = MemberStatus{
			Instance: m.Instance, Ready: m.Ready, Leaving: m.Leaving, LinkSuspect: m.LinkSuspect,
			Revision: m.Revision, RequestRate: m.RequestRate, HeartbeatAgeMillis: now.Sub(m.LastHeartbeat).Milliseconds(),
		}
	}
	return list
}

func (s *server) getUnknown(*http.Request) (any, error) {
	return SumUnknownNames(s.Facts.Facts(savorystep.FactUnknown), s.Config.View()), nil
}

func (s *server) getExplain(r *http.Request) (any, error) {
	name := r.URL.Query().Get("name")
	if name == "" {
		return nil, savorystep.NewError(savorystep.KindBadRequest, "query parameter name is missing")
	}
	return s.ExplainLookup(name, r.URL.Query().Get("from"))
}

// maxWaitTimeout bounds the wait of a single request. Clients repeat the request.
const maxWaitTimeout = time.Minute

// getWait responds when all members that are not leaving have a revision in force, or
// after the timeout of the query. Without the query parameter revision it waits for the
// revision in force at this instance.
func (s *server) getWait(r *http.Request) (any, error) {
	revision, err := queryUint(r, "revision", uint64(s.Config.View().Revision))
	if err != nil {
		return nil, err
	}
	timeout := maxWaitTimeout
	if text := r.URL.Query().Get("timeout"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return nil, savorystep.NewError(savorystep.KindBadRequest, "timeout %q is not a duration", text)
		}
		timeout = min(d, maxWaitTimeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	ticker := time.NewTicker(viewPollInterval)
	defer ticker.Stop()
	membersBefore := s.memberStatuses(s.Clock.Now())
	for {
		progress := s.rolloutProgress(savorystep.Revision(revision))
		progress.LostMembers = lostMembers(membersBefore, progress.Members)
		if progress.Done {
			return progress, nil
		}
		select {
		case <-ctx.Done():
			return progress, nil
		case <-s.Shutdown:
			return progress, nil
		case <-ticker.C:
		}
	}
}

// lostMembers returns the former members that are not among the current ones.
func lostMembers(former, current []MemberStatus) []MemberStatus {
	var lost []MemberStatus
	for _, old := range former {
		if !slices.ContainsFunc(current, func(m MemberStatus) bool { return m.ID == old.ID }) {
			lost = append(lost, old)
		}
	}
	return lost
}

// rolloutProgress returns the members with their revisions. Done does not depend on
// members that are leaving, since lookups no longer return them.
func (s *server) rolloutProgress(revision savorystep.Revision) RolloutProgress {
	p := RolloutProgress{Revision: revision, Self: s.Self.ID, Done: true, Members: s.memberStatuses(s.Clock.Now())}
	for _, m := range p.Members {
		if !m.Leaving && m.Revision < revision {
			p.Done = false
		}
	}
	// The status that this instance has published for itself may lag behind its own
	// configuration, or be absent.
	if s.Config.View().Revision < revision {
		p.Done = false
	}
	return p
}
