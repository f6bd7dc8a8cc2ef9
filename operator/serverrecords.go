package operator

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"savorystep"
)

func (s *server) getRecord(r *http.Request) (any, error) {
	view := s.Config.View()
	service := savorystep.Service(chi.URLParam(r, "service"))
	record := view.Records[service]
	if record == nil {
		err := savorystep.NewError(savorystep.KindNotFound, "service %s has no record", service)
		err.Suggestions = savorystep.NearestServices(savorystep.Name(service), view)
		return nil, err
	}
	return RecordStatus{Service: service, RecordRevision: view.RecordRevisions[service], ConfigRevision: view.Revision, Record: record}, nil
}

func (s *server) getHistory(r *http.Request) (any, error) {
	limit, err := queryNumber(r, "limit", 20)
	if err != nil {
		return nil, err
	}
	changes, err := s.Config.History(r.Context(), savorystep.Service(r.URL.Query().Get("service")), int(min(limit, maxHistory)))
	if err != nil {
		return nil, err
	}
	if changes == nil {
		changes = []savorystep.Change{}
	}
	return changes, nil
}

// getDiff compares two versions of a record. Without "to" it takes the version
// in force, without "from" the one before "to".
func (s *server) getDiff(r *http.Request) (any, error) {
	service := savorystep.Service(chi.URLParam(r, "service"))
	to, err := queryNumber(r, "to", uint64(s.Config.View().RecordRevisions[service]))
	if err != nil {
		return nil, err
	}
	c := &steering{config: s.Config}
	newer, err := c.version(r.Context(), service, savorystep.Revision(to))
	if err != nil {
		return nil, err
	}
	from, err := queryNumber(r, "from", uint64(newer.BaseRevision))
	if err != nil {
		return nil, err
	}
	var old *savorystep.Record
	if from != 0 {
		older, err := c.version(r.Context(), service, savorystep.Revision(from))
		if err != nil {
			return nil, err
		}
		old = older.Record
	}
	text, err := DiffRecords(old, newer.Record, versionName(service, savorystep.Revision(from)), versionName(service, newer.Revision))
	if err != nil {
		return nil, err
	}
	return RecordDiff{Service: service, FromRevision: savorystep.Revision(from), ToRevision: newer.Revision, Diff: text}, nil
}
