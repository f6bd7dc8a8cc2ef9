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

// maxBodyBytes bounds the body of an operator's request.
const maxBodyBytes = maxFileBytes

// A ServerConfig holds what a server needs.
type ServerConfig struct {
	Clock     savorystep.Clock
	Config    savorystep.Config
	Endpoints savorystep.Endpoints
	Facts     savorystep.Facts
	Members   savorystep.Members
	Recorder  savorystep.EventRecorder
	Self      savorystep.Instance

	// CheckReady returns nil if the instance answers callers, else the reason why
	// not.
	CheckReady func() error
	// ExplainLookup tells how a lookup of a name from a region or IP number is
	// decided.
	ExplainLookup func(name, from string) (any, error)

	// Gatherer gives the metrics to serve, nil for none.
	Gatherer prometheus.Gatherer
	// Registerer receives the server's own metrics, nil for none.
	Registerer prometheus.Registerer

	// Token is the bearer token of operators, empty for none.
	Token string
	// VerifyClientCerts is true if the listener verifies client certificates. A
	// request with a verified certificate needs no token.
	VerifyClientCerts bool
	// Shutdown is closed when the instance stops. It ends the streams, which
	// would otherwise hold up the stop. It may be nil.
	Shutdown <-chan struct{}
}

// A server serves the operators' protocol.
type server struct {
	ServerConfig

	requests *prometheus.CounterVec
}

// NewServer returns the handler of the operators' listener. Without a token
// and an authority it refuses every request.
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
	r.NotFound(s.handle(func(*http.Request) (any, error) {
		return nil, savorystep.NewError(savorystep.KindNotFound, "no such path")
	}))
	s.routes(r)
	return r
}

func (s *server) routes(r chi.Router) {
	r.Get("/healthz", s.handle(func(*http.Request) (any, error) { return health{Status: "ok"}, nil }))
	r.Get("/readyz", s.handle(s.getReady))
	if s.Gatherer != nil {
		r.Handle("/metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	}
	r.Route("/v1", func(r chi.Router) {
		r.Get("/records", s.handle(s.listRecords))
		r.Get("/records/{service}", s.handle(s.getRecord))
		r.Get("/history", s.handle(s.getHistory))
		r.Get("/diff/{service}", s.handle(s.getDiff))
		r.Get("/status", s.handle(s.getStatus))
		r.Get("/unknown", s.handle(s.getUnknown))
		r.Get("/explain", s.handle(s.getExplain))
		r.Get("/wait", s.handle(s.getWait))
		r.Get("/events", s.getEvents)
		r.Post("/apply", s.handle(change(s, ConfigEditor.Apply)))
		r.Post("/undo", s.handle(change(s, ConfigEditor.Undo)))
		r.Post("/shift", s.handle(change(s, ConfigEditor.Shift)))
		r.Post("/drain", s.handle(change(s, ConfigEditor.Drain)))
		r.Post("/correct", s.handle(change(s, ConfigEditor.Correct)))
	})
}

// changeTimeout bounds a change. It is shorter than what clients allow for one
// attempt, so that they learn of a platform that is down from the server.
const changeTimeout = 3 * time.Second

// health is the body of /healthz and /readyz.
type health struct {
	Status string `json:"status"`
}

func (s *server) getReady(*http.Request) (any, error) {
	if err := s.CheckReady(); err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "the instance is not ready")
	}
	return health{Status: "ready"}, nil
}

// changes returns what makes the changes of a request: the configuration
// itself or, with the query dry=true, a dry run of it.
func (s *server) changes(r *http.Request) ConfigEditor {
	c := &steering{clock: s.Clock, config: s.Config, endpoints: s.Endpoints, members: s.Members, record: s.Recorder.Record}
	if dry, _ := strconv.ParseBool(r.URL.Query().Get("dry")); dry {
		c.dry = true
		c.config = &DryRunConfig{Config: s.Config}
		c.record = func(savorystep.Event) {}
	}
	return c
}

// change returns the handler of a change with a JSON request.
func change[Request, Answer any](s *server, run func(ConfigEditor, context.Context, Request) (Answer, error)) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		var request Request
		if err := readJSON(r, &request); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		answer, err := run(s.changes(r), ctx, request)
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			return answer, nil
		case savorystep.KindPlatformDown, savorystep.KindDeadlineExceeded, savorystep.KindInternal:
			return nil, &unsettledError{err}
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

// maxHistory bounds an answer; several hundred changes are a long look back.
const maxHistory = 1000

func (s *server) getStatus(*http.Request) (any, error) {
	now := s.Clock.Now()
	view := s.Config.View()
	status := Status{Self: s.Self, Ready: true, Revision: view.Revision, Members: s.memberStatus(now), Services: []ServiceStatus{}}
	if err := s.CheckReady(); err != nil {
		status.Ready, status.Reason = false, err.Error()
	}
	for _, service := range sortedServices(view) {
		load := ServiceStatus{Service: service, RecordRevision: view.RecordRevisions[service], Regions: []savorystep.RegionLoad{}}
		if s.Endpoints != nil {
			load.Regions = append(load.Regions, s.Endpoints.RegionLoads(service, now)...)
		}
		status.Services = append(status.Services, load)
	}
	return status, nil
}

func (s *server) memberStatus(now time.Time) []MemberStatus {
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
		return nil, savorystep.NewError(savorystep.KindBadRequest, "the request has no name")
	}
	return s.ExplainLookup(name, r.URL.Query().Get("from"))
}

// maxWait bounds a wait; clients ask again.
const maxWait = time.Minute

// getWait answers when all members that stay have a revision in force, or
// after the query's timeout.
func (s *server) getWait(r *http.Request) (any, error) {
	revision, err := queryNumber(r, "revision", uint64(s.Config.View().Revision))
	if err != nil {
		return nil, err
	}
	timeout := maxWait
	if text := r.URL.Query().Get("timeout"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return nil, savorystep.NewError(savorystep.KindBadRequest, "timeout %q is not a duration", text)
		}
		timeout = min(d, maxWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	ticker := time.NewTicker(viewPoll)
	defer ticker.Stop()
	first := s.memberStatus(s.Clock.Now())
	for {
		progress := s.progress(savorystep.Revision(revision))
		progress.LostMembers = lostMembers(first, progress.Members)
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

// lostMembers returns the members of before that are not among those of now.
func lostMembers(before, now []MemberStatus) []MemberStatus {
	var lost []MemberStatus
	for _, old := range before {
		if !slices.ContainsFunc(now, func(m MemberStatus) bool { return m.ID == old.ID }) {
			lost = append(lost, old)
		}
	}
	return lost
}

// progress tells which members have a revision in force. An instance that
// leaves is not waited for, since it is in no lookup any more.
func (s *server) progress(revision savorystep.Revision) RolloutProgress {
	p := RolloutProgress{Revision: revision, Self: s.Self.ID, Done: true, Members: s.memberStatus(s.Clock.Now())}
	for _, m := range p.Members {
		if !m.Leaving && m.Revision < revision {
			p.Done = false
		}
	}
	// The own member entry may be older than the configuration.
	if s.Config.View().Revision < revision {
		p.Done = false
	}
	return p
}
