package store

import (
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// A keyState is the state of an idempotency key's row.
type keyState uint8

// The states of a key's row. A row that does not exist is free, like a
// released one.
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
	// Answer is the stored answer of a done row, nil if it is an object.
	Answer *storedAnswer         `cbor:"4,keyasint,omitempty"`
	Object savorystep.ObjectName `cbor:"5,keyasint,omitempty"`
}

// A storedAnswer is the stored form of a savorystep.Answer.
type storedAnswer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// keyPrefix begins the keys of all idempotency key rows.
const keyPrefix = "key/"

// maxKey bounds an idempotency key in bytes.
const maxKeyBytes = 255

// keyRowKey returns the row key of an idempotency key. Both parts are escaped,
// so that different pairs never share a row, whatever bytes they hold.
func keyRowKey(service savorystep.Service, key savorystep.IdempotencyKey) (savorystep.RowKey, error) {
	if service == "" || key == "" || len(key) > maxKeyBytes {
		return "", savorystep.NewError(savorystep.KindBadRequest, "an idempotency key has 1 to %d bytes", maxKeyBytes)
	}
	return savorystep.RowKey(keyPrefix + url.PathEscape(string(service)) + "/" + url.PathEscape(string(key))), nil
}

// canonical encodes equal values to equal bytes. Writes are recognised by
// their bytes.
var canonicalCBOR = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are fixed.
	}
	return mode
}()

// encodeCBOR encodes a value of this package's own row types, which always have
// a CBOR form.
func encodeCBOR(value any) []byte {
	encoded, err := canonicalCBOR.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// decodeKeyRow decodes the value of an idempotency key's row.
func decodeKeyRow(row savorystep.Row) (keyRow, error) {
	var value keyRow
	if err := cbor.Unmarshal(row.Value, &value); err != nil {
		return keyRow{}, malformedError("key row", "%v", err)
	}
	ok := value.Attempt != ""
	switch value.State {
	case keyPermitted, keyReleased:
	case keyCompleted:
		ok = ok && (value.Answer == nil) != (value.Object == "")
	default:
		ok = false
	}
	if !ok {
		return keyRow{}, malformedError("key row", "state %d of row %q is incomplete", value.State, row.Key)
	}
	return value, nil
}

// decodeAnswer decodes a stored answer that is an object.
func decodeStoredAnswer(value []byte) (*storedAnswer, error) {
	var stored storedAnswer
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return nil, malformedError("stored answer", "%v", err)
	}
	return &stored, nil
}
