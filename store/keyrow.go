package store

import (
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// A keyState is the state of an idempotency key.
type keyState uint8

// The states of an idempotency key. A missing row means the same as
// keyReleased.
const (
	keyPermitted keyState = iota + 1
	keyReleased
	keyCompleted
)

// A keyRow is the value of an idempotency key's row.
type keyRow struct {
	State keyState `cbor:"1,keyasint"`
	// Attempt is the attempt that wrote the row.
	Attempt     savorystep.AttemptID   `cbor:"2,keyasint"`
	Fingerprint savorystep.Fingerprint `cbor:"3,keyasint,omitempty"`
	// StoredResponse is the stored response of a completed request, or nil if it
	// is stored as Object.
	StoredResponse *storedResponse       `cbor:"4,keyasint,omitempty"`
	Object         savorystep.ObjectName `cbor:"5,keyasint,omitempty"`
	// Sequence numbers the attempts that have held the key, from 1, and Era is the era
	// of the table in which the row was written, if it is not the first. They tell
	// an older row of a copy from a later one. Builds of before them write neither.
	Sequence keySequence         `cbor:"6,keyasint,omitempty"`
	Era      savorystep.StoreEra `cbor:"7,keyasint,omitempty"`
}

// A keySequence numbers the attempts that have held a key, from 1.
type keySequence uint32

// encode encodes the value of a row that is written in an era.
func (r keyRow) encode(era savorystep.StoreEra) []byte {
	r.Era = 0
	if era > savorystep.FirstStoreEra {
		r.Era = era
	}
	return encodeCBOR(r)
}

// released returns the row after the release of the attempt.
func (r keyRow) released() keyRow {
	return keyRow{State: keyReleased, Attempt: r.Attempt, Sequence: r.Sequence}
}

// nextSequence returns the sequence of the next attempt at a row, which is missing or
// released.
func nextSequence(row savorystep.Row) keySequence {
	if row.Version == 0 {
		return 1
	}
	value, err := decodeKeyRow(row)
	if err != nil {
		return 1
	}
	return value.Sequence + 1
}

// A storedResponse is the stored form of a savorystep.StoredResponse.
type storedResponse struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// keyPrefix is the common prefix of the row keys of all idempotency keys.
const keyPrefix = "key/"

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// keyRowKey returns the row key of an idempotency key. Both parts are escaped,
// so that different pairs of service and key never share a row, whatever bytes
// they contain.
func keyRowKey(service savorystep.Service, key savorystep.IdempotencyKey) (savorystep.RowKey, error) {
	if service == "" || key == "" || len(key) > maxKeyBytes {
		return "", savorystep.NewError(savorystep.KindBadRequest, "service %q: idempotency key has %d bytes, allowed are 1 to %d", service, len(key), maxKeyBytes)
	}
	return savorystep.RowKey(keyPrefix + url.PathEscape(string(service)) + "/" + url.PathEscape(string(key))), nil
}

// canonicalCBOR encodes equal values to equal bytes. rowWrite recognizes a
// write by its bytes.
var canonicalCBOR = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// encodeCBOR encodes a value of one of this package's row types, all of which
// have a CBOR form.
func encodeCBOR(value any) []byte {
	encoded, err := canonicalCBOR.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// decodeKeyRow decodes and validates the value of an idempotency key's row.
func decodeKeyRow(row savorystep.Row) (keyRow, error) {
	var value keyRow
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		return keyRow{}, malformedError("key row", "%v", err)
	}
	ok := value.Attempt != ""
	switch value.State {
	case keyPermitted, keyReleased:
	case keyCompleted:
		ok = ok && (value.StoredResponse == nil) != (value.Object == "")
	default:
		ok = false
	}
	if !ok {
		return keyRow{}, malformedError("key row", "state %d of row %q is incomplete", value.State, row.Key)
	}
	return value, nil
}

// decodeStoredResponse decodes a response that is stored as an object.
func decodeStoredResponse(value []byte) (*storedResponse, error) {
	var stored storedResponse
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return nil, malformedError("stored response", "%v", err)
	}
	return &stored, nil
}
