package storage

import (
	"encoding/binary"

	"github.com/decklever/decklever/internal/record"
)

// placeKey orders jobs by (Index, ID).
func placeKey(index uint64, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, index), id...)
}

// endedKey orders jobs by (EndedAt, ID).
func endedKey(endedAt record.Millis, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(endedAt)), id...)
}

// idOf is the id in a placeKey or an endedKey.
func idOf(key []byte) []byte { return key[8:] }
