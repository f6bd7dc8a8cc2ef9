package cmd

import (
	"errors"

	"savorystep"
)

// The exit codes of all commands.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitPartial     = 5
)

// exitCodes are the descriptions of the exit codes in help texts and in
// docs/reference.md.
var exitCodes = []struct {
	code    int
	meaning string
}{
	{exitOK, "done"},
	{exitFailed, "failed"},
	{exitUsage, "wrong use, a faulty file, or an unknown name"},
	{exitConflict, "another operator changed the record first"},
	{exitUnavailable, "no server answered in time, or the platform is down"},
	{exitPartial, "done in part: not in force everywhere in time, or some services or instances are missing"},
}

// exitCode returns the exit code of a command that returned err.
func exitCode(err error) int {
	var partial *partialError
	if errors.As(err, &partial) {
		return exitPartial
	}
	switch savorystep.KindOf(err) {
	case savorystep.KindNone:
		return exitOK
	case savorystep.KindBadRequest, savorystep.KindUnknownName, savorystep.KindNotFound:
		return exitUsage
	case savorystep.KindVersionConflict, savorystep.KindKeyConflict:
		return exitConflict
	case savorystep.KindDeadlineExceeded, savorystep.KindNotReady, savorystep.KindPlatformDown:
		return exitUnavailable
	default:
		return exitFailed
	}
}
