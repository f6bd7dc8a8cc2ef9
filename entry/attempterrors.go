package entry

import "savorystep"

// An attemptErrors collects the errors of the attempts of one request. If any attempt may
// have been executed, the request as a whole may have been executed, even if later
// attempts were not.
type attemptErrors struct {
	last                 error
	lastPossiblyExecuted error
}

// add records the error of one attempt.
func (a *attemptErrors) add(err error) {
	a.last = err
	if savorystep.ExecutionOf(err) != savorystep.NotExecuted {
		a.lastPossiblyExecuted = err
	}
}

// finish records the error of the last attempt and returns the error of the request as a
// whole.
func (a *attemptErrors) finish(err error) error {
	a.add(err)
	return a.err()
}

// err returns the error of the request as a whole: that of the last attempt, or one of
// KindOutcomeUnknown if only an earlier attempt may have been executed.
func (a *attemptErrors) err() error {
	if a.lastPossiblyExecuted == nil || savorystep.ExecutionOf(a.last) != savorystep.NotExecuted {
		return a.last
	}
	return savorystep.WrapError(savorystep.KindOutcomeUnknown, a.last, "an earlier attempt may have run")
}
