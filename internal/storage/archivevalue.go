package storage

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// checksum returns the CRC-32C of a key and the payload stored under it. The key is
// included so that a value found under another key is invalid.
func checksum(key, payload []byte) uint32 {
	return datafile.UpdateChecksum(datafile.Checksum(key), payload)
}

// addChecksum returns the stored form of a payload: its checksum (4 bytes, big
// endian), then the payload.
func addChecksum(key, payload []byte) []byte {
	stored := make([]byte, datafile.ChecksumSize, datafile.ChecksumSize+len(payload))
	binary.BigEndian.PutUint32(stored, checksum(key, payload))
	return append(stored, payload...)
}

// verifyChecksum returns the payload of a stored value, which shares memory with
// stored, or ErrCorrupt if the checksum does not match.
func verifyChecksum(file string, key, stored []byte) ([]byte, error) {
	if len(stored) < datafile.ChecksumSize {
		return nil, datafile.NewCorruptError(file, "value under key %x has only %d bytes", key, len(stored))
	}
	payload := stored[datafile.ChecksumSize:]
	want := binary.BigEndian.Uint32(stored)
	if got := checksum(key, payload); got != want {
		return nil, datafile.NewCorruptError(file, "value under key %x has checksum %08x, expected %08x", key, got, want)
	}
	return payload, nil
}

// encodeValue encodes a value in CBOR and adds its checksum.
func encodeValue(key []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	return addChecksum(key, payload), nil
}

// decodeValue verifies a stored value and decodes it into the given variable. file
// names the file in errors.
func decodeValue(file string, key, stored []byte, into any) error {
	payload, err := verifyChecksum(file, key, stored)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(payload, into); err != nil {
		return datafile.NewCorruptError(file, "value under key %x: %v", key, err)
	}
	return nil
}
