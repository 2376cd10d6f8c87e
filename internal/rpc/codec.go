package rpc

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds on what is decoded. A body is bounded in bytes as well; these keep a
// short body from costing much more memory or stack than its own size.
const (
	maxNestedLevels  = 32
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
)

// codec encodes and decodes bodies. It is made once and safe for use by many
// goroutines.
type codec struct {
	encoding cbor.UserBufferEncMode
	decoding cbor.DecMode
}

// newCodec makes the codec. Its options are constants, so that the error can
// only be a mistake in this file.
func newCodec() codec {
	encoding, err := encodingOptions().UserBufferEncMode()
	if err != nil {
		panic(fmt.Sprintf("rpc: encoding options: %v", err))
	}
	decoding, err := decodingOptions().DecMode()
	if err != nil {
		panic(fmt.Sprintf("rpc: decoding options: %v", err))
	}
	return codec{encoding: encoding, decoding: decoding}
}

// encodingOptions follows the core deterministic encoding of RFC 8949,
// section 4.2.1. Times travel as text because the default, whole seconds,
// would cut them.
func encodingOptions() cbor.EncOptions {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	return options
}

// decodingOptions ignores unknown fields, so that two versions can run side by
// side, and refuses what the encoder never makes.
func decodingOptions() cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}
}

func (c codec) encode(value any) ([]byte, error) {
	return c.encoding.Marshal(value)
}

// encodeTo appends to a buffer.
func (c codec) encodeTo(value any, into *bytes.Buffer) error {
	return c.encoding.MarshalToBuffer(value, into)
}

// decode reads exactly one item; anything behind it is an error. What is read
// points nowhere into data.
func (c codec) decode(data []byte, into any) error {
	return c.decoding.Unmarshal(data, into)
}
