package peer

import "sync"

// catalogSources records where the sections of the catalog were last read, and logs
// when that changes. It is safe for concurrent use.
type catalogSources struct {
	mu     sync.Mutex
	byPath map[string]string
}

// record records the source of a section. cause is why a source before it in the
// order was not used, nil if there is none.
func (s *catalogSources) record(path, source string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.byPath[path]
	if previous == source {
		return
	}
	if s.byPath == nil {
		s.byPath = make(map[string]string)
	}
	s.byPath[path] = source
	switch {
	case previous == "":
	case cause != nil:
		logger.Infof("%s is read from %s instead of %s: %v", path, source, previous, cause)
	default:
		logger.Infof("%s is read from %s instead of %s", path, source, previous)
	}
}
