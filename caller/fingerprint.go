package caller

import (
	"github.com/zeebo/xxh3"

	"savorystep"
)

// fingerprintBodyBytes is the length of the part of a body that the fingerprint covers.
const fingerprintBodyBytes = 4 << 10

// newFingerprint returns the fingerprint of a request: a hash of its service, method,
// path, idempotency key and the beginning of its body. The request ID is not part of
// it, since a caller may send the same request again with a new ID.
func newFingerprint(request *savorystep.Request, bodyPrefix []byte) savorystep.Fingerprint {
	var hasher xxh3.Hasher
	for _, part := range []string{string(request.Service), request.Method, request.Path, string(request.IdempotencyKey)} {
		_, _ = hasher.WriteString(part)
		_, _ = hasher.Write([]byte{0})
	}
	_, _ = hasher.Write(bodyPrefix)
	return savorystep.Fingerprint(hasher.Sum64())
}
