package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// A Codec encodes and decodes values of one type as CBOR. Decoding is strict:
// it rejects unknown fields, duplicate keys, tags, indefinite lengths, trailing
// bytes, and values above the size limit.
type Codec[T any] struct {
	// Limit is the greatest encoded size in bytes.
	Limit int
}

var (
	encMode = mustMode(cbor.EncOptions{
		Sort:          cbor.SortNone,
		Time:          cbor.TimeRFC3339Nano,
		ShortestFloat: cbor.ShortestFloat16,
	}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
		TagsMd:            cbor.TagsForbidden,
	}.DecMode())
)

const (
	// maxElements limits the elements of one array or map.
	maxElements = 16384
	// maxNesting limits the nesting depth. A changesResponseFrame with a record
	// takes 8 levels.
	maxNesting = 16
)

// mustMode returns mode. It panics on an error, which only invalid options
// cause.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of a value. The error has kind KindTooLarge
// or KindInternal.
func (c Codec[T]) Encode(value T) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindInternal, err, "encode %T", value)
	}
	if len(data) > c.Limit {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "%T has %d bytes, limit %d", value, len(data), c.Limit)
	}
	return data, nil
}

// Decode returns the value of a CBOR encoding. The error has kind KindTooLarge
// or KindBadRequest.
func (c Codec[T]) Decode(data []byte) (T, error) {
	var value T
	if len(data) > c.Limit {
		return value, savorystep.NewError(savorystep.KindTooLarge, "%T has %d bytes, limit %d", value, len(data), c.Limit)
	}
	if err := decMode.Unmarshal(data, &value); err != nil {
		var zero T
		return zero, savorystep.WrapError(savorystep.KindBadRequest, err, "decode %s", fmt.Sprintf("%T", value))
	}
	return value, nil
}
