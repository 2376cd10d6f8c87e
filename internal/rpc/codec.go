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

// codec encodes and decodes bodies. It is safe for concurrent use.
type codec struct {
	encoding cbor.UserBufferEncMode
	decoding cbor.DecMode
}

// newCodec makes a codec. It panics if the options are wrong, which are constants.
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
// section 4.2.1. Times are encoded as text, since the default would cut them to whole
// seconds.
func encodingOptions() cbor.EncOptions {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	return options
}

// decodingOptions ignores unknown fields, so that two versions can run side by side, and
// rejects what the encoder never produces.
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

// encodeTo appends the encoding of a value to a buffer.
func (c codec) encodeTo(value any, into *bytes.Buffer) error {
	return c.encoding.MarshalToBuffer(value, into)
}

// decode decodes exactly one item; anything after it is an error. The result does not
// point into data.
func (c codec) decode(data []byte, into any) error {
	return c.decoding.Unmarshal(data, into)
}
