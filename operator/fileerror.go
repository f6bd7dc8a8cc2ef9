package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"savorystep"
)

// A FileError is one fault in a file that an operator wrote.
type FileError struct {
	File string `json:"file,omitempty"`
	// Line is 0 if the fault has no line of its own.
	Line int `json:"line,omitempty"`
	// Key is the key with its section, for example "[shares] natal".
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
	// Allowed says which values are accepted, if that helps.
	Allowed string `json:"allowed,omitempty"`
}

// Error returns the fault on one line.
func (e FileError) Error() string {
	var b strings.Builder
	switch {
	case e.File != "" && e.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	case e.File != "":
		fmt.Fprintf(&b, "%s: ", e.File)
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	if e.Allowed != "" {
		b.WriteString("; allowed: " + e.Allowed)
	}
	return b.String()
}

// FileErrors are all faults that were found in a file. Their kind is
// KindBadRequest.
type FileErrors []FileError

// Error returns the faults, one on each line.
func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// As gives the faults the kind KindBadRequest for savorystep.KindOf.
func (e FileErrors) As(target any) bool {
	t, ok := target.(**savorystep.Error)
	if ok {
		*t = savorystep.NewError(savorystep.KindBadRequest, "%s", e.Error())
	}
	return ok
}

// err returns the faults in order of their lines as an error, nil if there are
// none.
func (e FileErrors) err() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b FileError) int { return cmp.Compare(a.Line, b.Line) })
	return e
}
