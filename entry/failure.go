package entry

import "savorystep"

// A failure collects the errors of a request's attempts. Once an attempt may
// have run, the request as a whole may have run, whatever later attempts say.
type failure struct {
	last    error
	unknown error
}

// add takes note of the error of one attempt.
func (f *failure) add(err error) {
	f.last = err
	if savorystep.ExecutionOf(err) != savorystep.NotExecuted {
		f.unknown = err
	}
}

// with adds an error and returns that of the request as a whole.
func (f *failure) with(err error) error {
	f.add(err)
	return f.err()
}

// err returns the error of the request as a whole.
func (f *failure) err() error {
	if f.unknown == nil || savorystep.ExecutionOf(f.last) != savorystep.NotExecuted {
		return f.last
	}
	return savorystep.WrapError(savorystep.KindOutcomeUnknown, f.last, "an earlier attempt may have run")
}
