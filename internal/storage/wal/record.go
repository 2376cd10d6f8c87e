package wal

import (
	"encoding/binary"

	"github.com/decklever/decklever/internal/storage/datafile"
)

// A record of the write-ahead log is: length of the payload (4 bytes), CRC-32C
// of all that follows and of the length (4), sequence (8), synced (8), type (1),
// end of batch (1), payload. Numbers are big-endian.
const (
	lengthSize       = 4
	recordHeaderSize = lengthSize + datafile.ChecksumSize + 8 + 8 + 1 + 1
)

// recordType says what a payload is. The numbers are part of the stored format
// and are never reused.
type recordType byte

const (
	// recordTypeSegment opens each segment: a segmentHeader.
	recordTypeSegment recordType = 1
	// recordTypeHardState is a raft.HardState.
	recordTypeHardState recordType = 2
	// recordTypeEntry is a raft.Entry, in place of all from its index on.
	recordTypeEntry recordType = 3
	// recordTypeSnapshot is a SnapshotRecord.
	recordTypeSnapshot recordType = 4
	// recordTypeClosed ends a log that was closed in order, so that damage to the
	// record before it is distinguished from a torn write.
	recordTypeClosed recordType = 5
)

// logRecord is one record of the log. Its Payload is decoded by type (batch.go).
type logRecord struct {
	// Sequence numbers all records of a log, through all segments.
	Sequence uint64
	// Synced is the newest record that was known to be durable when this one
	// was written. A bad record that a later one names so is damage, not a
	// torn write.
	Synced uint64
	Type   recordType
	// End marks the last record of a batch. A batch counts completely or not at all.
	End     bool
	Payload []byte
}

// beginRecord reserves the header; the payload is appended by the caller, and
// endRecord fills the header in.
func beginRecord(buffer []byte) (grown []byte, start int) {
	start = len(buffer)
	return append(buffer, make([]byte, recordHeaderSize)...), start
}

// endRecord fills in the header of the record that starts there and ends with
// the buffer. Its Payload is not used.
func endRecord(buffer []byte, start int, record logRecord) {
	header := buffer[start:]
	binary.BigEndian.PutUint32(header, uint32(len(header)-recordHeaderSize))
	binary.BigEndian.PutUint64(header[8:], record.Sequence)
	binary.BigEndian.PutUint64(header[16:], record.Synced)
	header[24] = byte(record.Type)
	header[25] = 0
	if record.End {
		header[25] = 1
	}
	binary.BigEndian.PutUint32(header[lengthSize:], recordChecksum(header))
}

func recordChecksum(encoded []byte) uint32 {
	sum := datafile.Checksum(encoded[:lengthSize])
	return datafile.UpdateChecksum(sum, encoded[lengthSize+datafile.ChecksumSize:])
}

// decodeRecord reads the record that content starts with; its Payload shares
// memory with content. ok is false if there is no valid one.
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
		Sequence: binary.BigEndian.Uint64(content[8:]),
		Synced:   binary.BigEndian.Uint64(content[16:]),
		Type:     recordType(content[24]),
		End:      content[25] == 1,
		Payload:  content[recordHeaderSize:size],
	}
	if record.Type < recordTypeSegment || record.Type > recordTypeClosed || content[25] > 1 || record.Synced >= record.Sequence {
		return logRecord{}, 0, false
	}
	if binary.BigEndian.Uint32(content[lengthSize:]) != recordChecksum(content[:size]) {
		return logRecord{}, 0, false
	}
	return record, size, true
}

// nextRecord is decodeRecord for the record that must follow in sequence.
func nextRecord(content []byte, sequence uint64) (record logRecord, size int, ok bool) {
	if len(content) < recordHeaderSize || binary.BigEndian.Uint64(content[8:]) != sequence {
		return logRecord{}, 0, false
	}
	return decodeRecord(content)
}

// provesSynced reports whether content has, at any offset, a later record that
// names the one of that sequence as durable.
func provesSynced(content []byte, sequence uint64) bool {
	last := sequence + uint64(len(content))
	for ; len(content) >= recordHeaderSize; content = content[1:] {
		// The cheap checks go first: at most offsets there is no record.
		if synced := binary.BigEndian.Uint64(content[16:]); synced < sequence || synced > last {
			continue
		}
		if _, _, ok := decodeRecord(content); ok {
			return true
		}
	}
	return false
}
