package storage

import (
	"encoding/binary"

	"github.com/decklever/decklever/internal/record"
)

// Buckets of the archive. The names are part of the stored format.
var (
	jobsBucket  = []byte("jobs")  // id -> job with checksum
	indexBucket = []byte("place") // indexKey -> nothing
	endedBucket = []byte("ended") // endedKey -> nothing

	archiveBuckets = [][]byte{jobsBucket, indexBucket, endedBucket}
)

// indexKey is ordered by (Index, ID).
func indexKey(index uint64, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, index), id...)
}

// endedKey is ordered by (EndedAt, ID).
func endedKey(endedAt record.Millis, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(endedAt)), id...)
}

// keyPrefixBytes is the length of the index or time before the id in a key.
const keyPrefixBytes = 8

// jobIDOf returns the id in an indexKey or an endedKey.
func jobIDOf(key []byte) []byte { return key[keyPrefixBytes:] }

// endedAtOf returns the time in an endedKey.
func endedAtOf(key []byte) record.Millis { return record.Millis(binary.BigEndian.Uint64(key)) }
