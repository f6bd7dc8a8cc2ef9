package caller

import (
	"github.com/zeebo/xxh3"

	"savorystep"
)

// fingerprintBytes is how much of a body is part of the fingerprint.
const fingerprintBytes = 4 << 10

// newFingerprint returns the fingerprint of a request. The request id is left
// out, since a caller may send the same request again under a new one.
func newFingerprint(request *savorystep.Request, head []byte) savorystep.Fingerprint {
	var hasher xxh3.Hasher
	for _, part := range []string{string(request.Service), request.Method, request.Path, string(request.IdempotencyKey)} {
		_, _ = hasher.WriteString(part)
		_, _ = hasher.Write([]byte{0})
	}
	_, _ = hasher.Write(head)
	return savorystep.Fingerprint(hasher.Sum64())
}
