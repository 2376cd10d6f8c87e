package wal

import (
	"encoding/binary"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// A record of the write-ahead log consists of: length of the payload (4 bytes),
// CRC-32C of the length and of all that follows the checksum (4), sequence (8),
// synced sequence (8), type (1), end of batch (1), payload. Numbers are big-endian.
const (
	lengthSize       = 4
	recordHeaderSize = lengthSize + datafile.ChecksumSize + 8 + 8 + 1 + 1
)

// recordType is the type of a record's payload. The values are part of the stored
// format and are never reused.
type recordType byte

const (
	// recordTypeSegment has a segmentHeader. It is the first record of each
	// segment.
	recordTypeSegment recordType = 1
	// recordTypeHardState has a raft.HardState.
	recordTypeHardState recordType = 2
	// recordTypeEntry has a raft.Entry, which replaces all entries from its index
	// on.
	recordTypeEntry recordType = 3
	// recordTypeSnapshot has a SnapshotRecord.
	recordTypeSnapshot recordType = 4
	// recordTypeClosed has no payload. It ends a log that was closed cleanly, so
	// that damage to the record before it is distinguished from a torn write.
	recordTypeClosed recordType = 5
)

// logRecord is one record of the log. The Payload is decoded according to Type (see
// batch.go).
type logRecord struct {
	// Sequence counts the records of a log from 1 on, across segments.
	Sequence uint64
	// SyncedSequence is the sequence of the newest record that was known to be
	// durable when this one was written. An invalid record whose sequence is not
	// above the SyncedSequence of a later record is damaged, not torn.
	SyncedSequence uint64
	Type           recordType
	// EndOfBatch marks the last record of a batch. A batch is replayed completely or
	// not at all.
	EndOfBatch bool
	Payload    []byte
}

// beginRecord appends space for a record header and returns its offset. The caller
// appends the payload and then calls endRecord.
func beginRecord(buffer []byte) (grown []byte, start int) {
	start = len(buffer)
	return append(buffer, make([]byte, recordHeaderSize)...), start
}

// endRecord fills in the header of the record that begins at start and ends at the
// end of buffer. It does not use record.Payload.
func endRecord(buffer []byte, start int, record logRecord) {
	header := buffer[start:]
	binary.BigEndian.PutUint32(header, uint32(len(header)-recordHeaderSize))
	binary.BigEndian.PutUint64(header[8:], record.Sequence)
	binary.BigEndian.PutUint64(header[16:], record.SyncedSequence)
	header[24] = byte(record.Type)
	header[25] = 0
	if record.EndOfBatch {
		header[25] = 1
	}
	binary.BigEndian.PutUint32(header[lengthSize:], recordChecksum(header))
}

// recordChecksum returns the checksum of an encoded record without its checksum
// field.
func recordChecksum(encoded []byte) uint32 {
	sum := datafile.Checksum(encoded[:lengthSize])
	return datafile.UpdateChecksum(sum, encoded[lengthSize+datafile.ChecksumSize:])
}

// decodeRecord decodes the record at the start of content and returns its encoded
// length. The Payload shares memory with content. ok is false if the record is
// invalid.
func decodeRecord(content []byte) (record logRecord, size int, ok bool) {
	if len(content) < recordHeaderSize {
		return logRecord{}, 0, false
	}
	length := uint64(binary.BigEndian.Uint32(content))
	if length > uint64(len(content)-recordHeaderSize) {
		return logRecord{}, 0, false
	}
	size = recordHeaderSize + int(length)
	record = logRecord{
		Sequence:       binary.BigEndian.Uint64(content[8:]),
		SyncedSequence: binary.BigEndian.Uint64(content[16:]),
		Type:           recordType(content[24]),
		EndOfBatch:     content[25] == 1,
		Payload:        content[recordHeaderSize:size],
	}
	if record.Type < recordTypeSegment || record.Type > recordTypeClosed || content[25] > 1 || record.SyncedSequence >= record.Sequence {
		return logRecord{}, 0, false
	}
	if binary.BigEndian.Uint32(content[lengthSize:]) != recordChecksum(content[:size]) {
		return logRecord{}, 0, false
	}
	return record, size, true
}

// nextRecord is like decodeRecord, but ok is also false if the record does not have
// the given sequence.
func nextRecord(content []byte, sequence uint64) (record logRecord, size int, ok bool) {
	if len(content) < recordHeaderSize || binary.BigEndian.Uint64(content[8:]) != sequence {
		return logRecord{}, 0, false
	}
	return decodeRecord(content)
}

// provesSynced reports whether content has, at any offset, a valid record that
// proves by its SyncedSequence that the record with the given sequence was durable.
func provesSynced(content []byte, sequence uint64) bool {
	last := sequence + uint64(len(content))
	for ; len(content) >= recordHeaderSize; content = content[1:] {
		// Compare the sequence before the checksum, which costs more to compute: no record
		// begins at most offsets.
		if synced := binary.BigEndian.Uint64(content[16:]); synced < sequence || synced > last {
			continue
		}
		if _, _, ok := decodeRecord(content); ok {
			return true
		}
	}
	return false
}
