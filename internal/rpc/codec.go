package rpc

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder. The size of a body is bounded as well; these limits prevent a
// short body from consuming far more memory or stack than its size.
const (
	maxNestedLevels  = 32
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
)

// codec encodes and decodes CBOR bodies. It is safe for concurrent use.
type codec struct {
	encoding cbor.UserBufferEncMode
	decoding cbor.DecMode
}

// newCodec returns a codec. It panics if the constant options are invalid.
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

// encodingOptions returns the core deterministic encoding of RFC 8949, section 4.2.1.
// Times are encoded as text, because the default would truncate them to seconds.
func encodingOptions() cbor.EncOptions {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	return options
}

// decodingOptions returns options that ignore unknown fields, so that processes of
// different versions can communicate, and that reject duplicate map keys and indefinite
// lengths, which the encoder never produces.
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

// encodeTo appends the encoding of value to a buffer.
func (c codec) encodeTo(value any, into *bytes.Buffer) error {
	return c.encoding.MarshalToBuffer(value, into)
}

// decode decodes exactly one CBOR item; trailing bytes are an error. The result does not
// point into data.
func (c codec) decode(data []byte, into any) error {
	return c.decoding.Unmarshal(data, into)
}
