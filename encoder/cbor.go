// Package encoder turns typed messages into bytes and back, by CBOR (RFC
// 8949). Fields are written under their Go names, in Pascal case.
//
// # Usage
//
//	data, err := encoder.Marshal(message)
//	err = encoder.Unmarshal(data, &message)
//
// Decoding is strict: indefinite lengths, tags, duplicate keys, deep nesting
// and oversized arrays are refused, since the bytes may come from anybody.
package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxDepth    = 16
	maxElements = 1 << 20
)

var (
	encMode = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortNone}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		MaxNestedLevels:  maxDepth,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoder.Marshal: %w", err)
	}
	return data, nil
}

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("encoder.Unmarshal: %w", err)
	}
	return nil
}
