package storage

import (
	"encoding/binary"

	"github.com/decklever/decklever/internal/record"
)

// Buckets of the archive. The names are part of the stored format.
var (
	jobsBucket  = []byte("jobs")  // id -> checksum and encoded job
	indexBucket = []byte("place") // indexKey -> no value
	endedBucket = []byte("ended") // endedKey -> no value

	archiveBuckets = [][]byte{jobsBucket, indexBucket, endedBucket}
)

// indexKey returns a key whose byte order is (Index, ID).
func indexKey(index uint64, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, index), id...)
}

// endedKey returns a key whose byte order is (EndedAt, ID).
func endedKey(endedAt record.Millis, id string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(endedAt)), id...)
}

// keyPrefixBytes is the length of the index or time that precedes the id in a key.
const keyPrefixBytes = 8

// jobIDOf returns the job id in an indexKey or endedKey. It shares memory with key.
func jobIDOf(key []byte) []byte { return key[keyPrefixBytes:] }

// endedAtOf returns the end time in an endedKey.
func endedAtOf(key []byte) record.Millis { return record.Millis(binary.BigEndian.Uint64(key)) }
