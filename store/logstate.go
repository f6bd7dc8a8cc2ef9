package store

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"savorystep"
)

// maxRecentChanges bounds the changes that an instance keeps in memory for its
// peers and for History.
const maxRecentChanges = 512

// logState is the configuration in force and the changes that led to it.
type logState struct {
	view atomic.Pointer[savorystep.View]

	mu sync.Mutex
	// recent holds the last changes up to the revision in force, without gaps.
	recent []savorystep.Change
	// latestByService holds the last change of each service, including
	// removals.
	latestByService map[savorystep.Service]savorystep.Change
	// raised is closed when the revision in force rises.
	raised chan struct{}
}

func newLogState() *logState {
	s := &logState{
		latestByService: make(map[savorystep.Service]savorystep.Change),
		raised:          make(chan struct{}),
	}
	s.view.Store(buildView(0, s.latestByService))
	return s
}

// install puts changes in force and returns those that were new, in order. The
// changes must be either all changes after the revision in force or, for each
// service with such changes, the last one. Changes at or below the revision in
// force are ignored.
func (s *logState) install(changes []savorystep.Change) []savorystep.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.view.Load().Revision
	changes = slices.Clone(changes)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	firstNew := sort.Search(len(changes), func(i int) bool { return changes[i].Revision > revision })
	changes = slices.CompactFunc(changes[firstNew:], func(a, b savorystep.Change) bool { return a.Revision == b.Revision })
	if len(changes) == 0 {
		return nil
	}
	for _, change := range changes {
		s.latestByService[change.Service] = change
		if len(s.recent) > 0 && s.recent[len(s.recent)-1].Revision+1 != change.Revision {
			s.recent = nil
		}
		s.recent = append(s.recent, change)
	}
	if excess := len(s.recent) - maxRecentChanges; excess > 0 {
		s.recent = slices.Clone(s.recent[excess:])
	}
	s.view.Store(buildView(changes[len(changes)-1].Revision, s.latestByService))
	close(s.raised)
	s.raised = make(chan struct{})
	return changes
}

// replace replaces the configuration in force, also by one of a lower revision. The
// changes are the last ones of each service.
func (s *logState) replace(changes []savorystep.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.latestByService)
	s.recent = nil
	revision := savorystep.Revision(0)
	for _, change := range changes {
		s.latestByService[change.Service] = change
		if revision+1 != change.Revision {
			s.recent = nil
		}
		s.recent = append(s.recent, change)
		revision = change.Revision
	}
	s.view.Store(buildView(revision, s.latestByService))
	close(s.raised)
	s.raised = make(chan struct{})
}

// buildView returns the configuration at a revision.
func buildView(revision savorystep.Revision, latest map[savorystep.Service]savorystep.Change) *savorystep.View {
	view := &savorystep.View{
		Revision:        revision,
		Records:         make(map[savorystep.Service]*savorystep.Record, len(latest)),
		RecordRevisions: make(map[savorystep.Service]savorystep.Revision, len(latest)),
		ServicesByName:  make(map[savorystep.Name]savorystep.Service, len(latest)),
	}
	for service, change := range latest {
		if change.Record == nil {
			continue
		}
		view.Records[service] = change.Record
		view.RecordRevisions[service] = change.Revision
		view.ServicesByName[savorystep.Name(service)] = service
		for _, name := range change.Record.Aliases {
			view.ServicesByName[name] = service
		}
	}
	return view
}

// changes returns at most limit of the changes after a revision: all of them if
// they are in memory, else the last change of each service.
func (s *logState) changes(after savorystep.Revision, limit int) []savorystep.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= s.view.Load().Revision || limit <= 0 {
		return nil
	}
	var changes []savorystep.Change
	if s.recent[0].Revision <= after+1 {
		changes = slices.Clone(s.recent[after+1-s.recent[0].Revision:])
	} else {
		changes = slices.Collect(maps.Values(s.latestByService))
		changes = slices.DeleteFunc(changes, func(c savorystep.Change) bool { return c.Revision <= after })
		sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	}
	return changes[:min(limit, len(changes))]
}

// raisedAbove returns a channel that is closed when the revision in force next
// rises, or nil if it is above the given revision already.
func (s *logState) raisedAbove(revision savorystep.Revision) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Load().Revision > revision {
		return nil
	}
	return s.raised
}

// recentChanges returns the changes in memory up to a revision, without gaps.
func (s *logState) recentChanges(revision savorystep.Revision) []savorystep.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := sort.Search(len(s.recent), func(i int) bool { return s.recent[i].Revision > revision })
	return slices.Clone(s.recent[:n])
}

// lastChange returns the last change of a service.
func (s *logState) lastChange(service savorystep.Service) savorystep.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestByService[service]
}
