package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"savorystep"
)

// A FileError is an error in a file that an operator wrote, or in a record that was sent
// without a file.
type FileError struct {
	File string `json:"file,omitempty"`
	// Line is the line number, 0 if the error does not belong to a single line.
	Line int `json:"line,omitempty"`
	// Key is the section and key, for example "[shares] natal".
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
	// Allowed describes the values that are accepted. It may be empty.
	Allowed string `json:"allowed,omitempty"`
}

// Error returns the message with file, line and key on one line.
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

// FileErrors are all errors that were found in a file. Their kind is KindBadRequest.
type FileErrors []FileError

// Error returns one line for each error.
func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i, fileErr := range e {
		lines[i] = fileErr.Error()
	}
	return strings.Join(lines, "\n")
}

// As lets errors.As find a savorystep.Error of kind KindBadRequest, so that
// savorystep.KindOf returns that kind.
func (e FileErrors) As(target any) bool {
	t, ok := target.(**savorystep.Error)
	if ok {
		*t = savorystep.NewError(savorystep.KindBadRequest, "%s", e.Error())
	}
	return ok
}

// asError sorts the errors by line and returns them as an error, nil if there are none.
func (e FileErrors) asError() error {
	if len(e) == 0 {
		return nil
	}
	slices.SortStableFunc(e, func(a, b FileError) int { return cmp.Compare(a.Line, b.Line) })
	return e
}
