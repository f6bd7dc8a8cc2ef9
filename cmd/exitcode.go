package cmd

import "savorystep"

// The exit codes of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitDown     = 4
)

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch savorystep.KindOf(err) {
	case savorystep.KindNone:
		return exitOK
	case savorystep.KindBadRequest, savorystep.KindUnknownName, savorystep.KindNotFound:
		return exitUsage
	case savorystep.KindVersionConflict, savorystep.KindKeyConflict:
		return exitConflict
	case savorystep.KindNotReady, savorystep.KindPlatformDown:
		return exitDown
	default:
		return exitFailed
	}
}
