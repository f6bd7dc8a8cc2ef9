package savorystep

import "strconv"

// A Fingerprint is a hash of the parts of a request that do not change when the
// caller sends it again. It identifies repeats of a request.
type Fingerprint uint64

// ParseFingerprint parses a fingerprint in hex.
func ParseFingerprint(text string) (Fingerprint, error) {
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, WrapError(KindBadRequest, err, "fingerprint %q", text)
	}
	return Fingerprint(number), nil
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}
