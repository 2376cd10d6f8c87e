package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// checksumSize is the length of a CRC-32C in bytes.
const checksumSize = crc32.Size

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers a value and the key that it is stored under, so that a value
// found under another key does not check.
func checksum(key, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, payload)
}

// addChecksum puts the checksum before a payload.
func addChecksum(key, payload []byte) []byte {
	stored := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint32(stored, checksum(key, payload))
	return append(stored, payload...)
}

// verifyChecksum checks a sealed value and returns its payload, which shares memory
// with it.
func verifyChecksum(file string, key, stored []byte) ([]byte, error) {
	if len(stored) < checksumSize {
		return nil, corrupt(file, "value under key %x has only %d bytes", key, len(stored))
	}
	payload := stored[checksumSize:]
	want := binary.BigEndian.Uint32(stored)
	if got := checksum(key, payload); got != want {
		return nil, corrupt(file, "value under key %x has checksum %08x, expected %08x", key, got, want)
	}
	return payload, nil
}

// encodeValue encodes and seals a value.
func encodeValue(key []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	return addChecksum(key, payload), nil
}

// decodeValue checks and decodes a value.
func decodeValue(file string, key, stored []byte, into any) error {
	payload, err := verifyChecksum(file, key, stored)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(payload, into); err != nil {
		return corrupt(file, "value under key %x: %v", key, err)
	}
	return nil
}
