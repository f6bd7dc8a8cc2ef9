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
	limit, err := queryUint(r, "limit", 20)
	if err != nil {
		return nil, err
	}
	changes, err := s.Config.History(r.Context(), savorystep.Service(r.URL.Query().Get("service")), int(min(limit, maxHistoryLimit)))
	if err != nil {
		return nil, err
	}
	if changes == nil {
		changes = []savorystep.Change{}
	}
	return changes, nil
}

// getDiff compares a record at two revisions, the query parameters from and to. The
// default of to is the revision of the record in force, that of from the revision which
// the change at to replaced.
func (s *server) getDiff(r *http.Request) (any, error) {
	service := savorystep.Service(chi.URLParam(r, "service"))
	to, err := queryUint(r, "to", uint64(s.Config.View().RecordRevisions[service]))
	if err != nil {
		return nil, err
	}
	editor := &configEditor{config: s.Config}
	newer, err := editor.changeAt(r.Context(), service, savorystep.Revision(to))
	if err != nil {
		return nil, err
	}
	from, err := queryUint(r, "from", uint64(newer.BaseRevision))
	if err != nil {
		return nil, err
	}
	var oldRecord *savorystep.Record
	if from != 0 {
		older, err := editor.changeAt(r.Context(), service, savorystep.Revision(from))
		if err != nil {
			return nil, err
		}
		oldRecord = older.Record
	}
	text, err := DiffRecords(oldRecord, newer.Record, revisionLabel(service, savorystep.Revision(from)), revisionLabel(service, newer.Revision))
	if err != nil {
		return nil, err
	}
	return RecordDiff{Service: service, FromRevision: savorystep.Revision(from), ToRevision: newer.Revision, Diff: text}, nil
}
