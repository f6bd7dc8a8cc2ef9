package store

import "bytes"

// A listSplitter finds the ends of the elements of a JSON array.
type listSplitter struct {
	depth               int
	inString, isEscaped bool
}

// next reads a byte and reports whether it ends an element or the array.
func (s *listSplitter) next(b byte) bool {
	switch {
	case s.inString:
		s.inString = s.isEscaped || b != '"'
		s.isEscaped = !s.isEscaped && b == '\\'
	case b == '"':
		s.inString = true
	case b == '[' || b == '{':
		s.depth++
	case b == ']' || b == '}':
		s.depth--
		return s.depth == 0
	default:
		return b == ',' && s.depth == 1
	}
	return false
}

// splitList returns the elements of a JSON array. Unlike a JSON decoder, it doesn't reject
// all elements because of one that is nested too deeply or isn't valid.
func splitList(list []byte) ([][]byte, error) {
	list = bytes.TrimSpace(list)
	if string(list) == "null" {
		return nil, nil
	}
	last := len(list) - 1
	if last < 1 || list[0] != '[' || list[last] != ']' {
		return nil, malformedError("list", "%.40q is not an array", list)
	}
	var elements [][]byte
	var splitter listSplitter
	start := 1
	for i, b := range list {
		if !splitter.next(b) {
			continue
		}
		if splitter.depth == 0 && i < last {
			return nil, malformedError("list", "ends at byte %d of %d", i, len(list))
		}
		element := bytes.TrimSpace(list[start:i])
		if b == ',' || len(element) > 0 {
			elements = append(elements, element)
		}
		start = i + 1
	}
	if splitter.depth != 0 || splitter.inString {
		return nil, malformedError("list", "%d bytes end within an element", len(list))
	}
	return elements, nil
}
