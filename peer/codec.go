package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// A Codec encodes and decodes values of one type as CBOR. Decoding is strict:
// it refuses unknown fields, duplicate keys, tags it does not expect,
// indefinite lengths, trailing bytes and values above the size limit.
type Codec[T any] struct {
	// Limit is the greatest size of an encoded value in bytes.
	Limit int
}

var (
	encoding = must(cbor.EncOptions{
		Sort:          cbor.SortNone,
		Time:          cbor.TimeRFC3339Nano,
		ShortestFloat: cbor.ShortestFloat16,
	}.EncMode())
	decoding = must(cbor.DecOptions{
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
	// maxElements bounds the elements of one array or map of a frame.
	maxElements = 16384
	// maxNesting bounds the depth of a frame. A change frame with a record
	// needs 8 levels.
	maxNesting = 16
)

// must returns the mode, which can fail only for invalid constants.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of a value. The error has kind KindTooLarge or
// KindInternal.
func (c Codec[T]) Encode(value T) ([]byte, error) {
	data, err := encoding.Marshal(value)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindInternal, err, "encode %T", value)
	}
	if len(data) > c.Limit {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "%T has %d bytes, limit %d", value, len(data), c.Limit)
	}
	return data, nil
}

// Decode returns the value of a CBOR form. The error has kind KindTooLarge or
// KindBadRequest.
func (c Codec[T]) Decode(data []byte) (T, error) {
	var value T
	if len(data) > c.Limit {
		return value, savorystep.NewError(savorystep.KindTooLarge, "%T has %d bytes, limit %d", value, len(data), c.Limit)
	}
	if err := decoding.Unmarshal(data, &value); err != nil {
		var zero T
		return zero, savorystep.WrapError(savorystep.KindBadRequest, err, "decode %s", fmt.Sprintf("%T", value))
	}
	return value, nil
}
