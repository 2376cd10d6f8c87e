package wal

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
)

const (
	// entryHeaderSize is the length of index, term and kind, which precede an
	// entry's data, in bytes.
	entryHeaderSize = 8 + 8 + 1
	// hardStateHeaderSize is the length of term and commit index, which precede
	// the vote, in bytes.
	hardStateHeaderSize = 8 + 8
)

// segmentHeader is the payload of the first record of a segment. It repeats the
// State so that earlier segments can be removed.
type segmentHeader struct {
	ReplicaID raft.ReplicaID `cbor:"1,keyasint"`
	Segment   uint64         `cbor:"2,keyasint"`
	// Size is the length of the file, in bytes. It is durable before the
	// header is written, so a file with another length is damaged.
	Size  int64 `cbor:"3,keyasint"`
	State State `cbor:"4,keyasint"`
}

// State is the result of applying all records up to some point of the log, without
// the entries.
type State struct {
	HardState raft.HardState `cbor:"1,keyasint"`
	// SnapshotIndex and SnapshotTerm identify the newest recorded snapshot; zero
	// if there is none. That snapshot or a newer one must exist.
	SnapshotIndex uint64 `cbor:"2,keyasint"`
	SnapshotTerm  uint64 `cbor:"3,keyasint"`
	// FirstIndex is the first index that is needed; entries before it are
	// discarded.
	FirstIndex uint64 `cbor:"4,keyasint"`
	// LastIndex is the index of the last entry, or SnapshotIndex if no entry
	// follows the snapshot.
	LastIndex uint64 `cbor:"5,keyasint"`
	// FirstSegment is the number of the oldest segment that must exist.
	FirstSegment uint64 `cbor:"6,keyasint"`
	// ArchiveTransaction is the newest durable transaction of the archive when the
	// snapshot was taken. The archive up to it holds the ended jobs that the
	// snapshot leaves out.
	ArchiveTransaction uint64 `cbor:"7,keyasint,omitempty"`
}

// SnapshotRecord records that a snapshot is durable, and which entries and segments
// it replaces.
type SnapshotRecord struct {
	// Index and Term are those of the snapshot's last entry.
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// FirstIndex and FirstSegment are the oldest entry index and segment number
	// that are still needed.
	FirstIndex   uint64 `cbor:"3,keyasint"`
	FirstSegment uint64 `cbor:"4,keyasint"`
	// DropLog discards all entries that were written before this record.
	DropLog bool `cbor:"5,keyasint,omitempty"`
	// ArchiveTransaction is as in State.
	ArchiveTransaction uint64 `cbor:"6,keyasint,omitempty"`
}

func (s *State) applySnapshot(snapshot SnapshotRecord) {
	s.SnapshotIndex, s.SnapshotTerm = snapshot.Index, snapshot.Term
	s.FirstIndex, s.FirstSegment = snapshot.FirstIndex, snapshot.FirstSegment
	s.ArchiveTransaction = snapshot.ArchiveTransaction
	s.LastIndex = max(s.LastIndex, snapshot.Index)
	if snapshot.DropLog {
		s.LastIndex = snapshot.Index
	}
}

// Batch is the content of one Append. It is replayed completely or not at all.
type Batch struct {
	// HardState is nil if the hard state is unchanged.
	HardState *raft.HardState
	// Entries replace all stored entries from the index of the first on.
	Entries []raft.Entry

	// snapshot is nil if there is no snapshot record; snapshotPayload is its CBOR
	// encoding.
	snapshot        *SnapshotRecord
	snapshotPayload []byte
	// closesLog adds the record of a clean close.
	closesLog bool
}

// NewSnapshotBatch returns a batch with only a snapshot record.
func NewSnapshotBatch(snapshot SnapshotRecord) (Batch, error) {
	payload, err := cbor.Marshal(snapshot)
	return Batch{snapshot: &snapshot, snapshotPayload: payload}, err
}

// Empty reports whether the batch has no records.
func (b Batch) Empty() bool { return b.recordCount() == 0 }

// recordCount returns the number of records in the batch.
func (b Batch) recordCount() int {
	count := len(b.Entries)
	for _, present := range []bool{b.snapshot != nil, b.HardState != nil, b.closesLog} {
		if present {
			count++
		}
	}
	return count
}

// encodedSize returns the length of the encoded batch, in bytes.
func (b Batch) encodedSize() int64 {
	size := int64(b.recordCount()*recordHeaderSize + len(b.snapshotPayload))
	if b.HardState != nil {
		size += int64(hardStateHeaderSize + len(b.HardState.VotedFor))
	}
	for _, entry := range b.Entries {
		size += int64(entryHeaderSize + len(entry.Data))
	}
	return size
}

// encode appends the encoded batch to buffer. sequence is the sequence number of
// its first record, synced the newest durable sequence number.
func (b Batch) encode(buffer []byte, sequence, synced uint64) []byte {
	last := sequence + uint64(b.recordCount()) - 1
	add := func(kind recordType, payload func([]byte) []byte) {
		var start int
		buffer, start = beginRecord(buffer)
		buffer = payload(buffer)
		endRecord(buffer, start, logRecord{Sequence: sequence, SyncedSequence: synced, Type: kind, EndOfBatch: sequence == last})
		sequence++
	}
	if b.snapshot != nil {
		add(recordTypeSnapshot, func(to []byte) []byte { return append(to, b.snapshotPayload...) })
	}
	if b.HardState != nil {
		add(recordTypeHardState, func(to []byte) []byte { return appendHardState(to, *b.HardState) })
	}
	for i := range b.Entries {
		add(recordTypeEntry, func(to []byte) []byte { return appendEntry(to, &b.Entries[i]) })
	}
	if b.closesLog {
		add(recordTypeClosed, func(to []byte) []byte { return to })
	}
	return buffer
}

// applyTo updates state with the records of the batch.
func (b Batch) applyTo(state *State) {
	if b.snapshot != nil {
		state.applySnapshot(*b.snapshot)
	}
	if b.HardState != nil {
		state.HardState = *b.HardState
	}
	if n := len(b.Entries); n > 0 {
		state.LastIndex = b.Entries[n-1].Index
	}
}

func appendHardState(buffer []byte, state raft.HardState) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, state.Term)
	buffer = binary.BigEndian.AppendUint64(buffer, state.Commit)
	return append(buffer, state.VotedFor...)
}

// decodeHardState decodes a hard state; ok is false if the payload is too short.
func decodeHardState(payload []byte) (state raft.HardState, ok bool) {
	if len(payload) < hardStateHeaderSize {
		return state, false
	}
	return raft.HardState{
		Term:     binary.BigEndian.Uint64(payload),
		Commit:   binary.BigEndian.Uint64(payload[8:]),
		VotedFor: raft.ReplicaID(payload[hardStateHeaderSize:]),
	}, true
}

func appendEntry(buffer []byte, entry *raft.Entry) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, entry.Index)
	buffer = binary.BigEndian.AppendUint64(buffer, entry.Term)
	buffer = append(buffer, byte(entry.Kind))
	return append(buffer, entry.Data...)
}

// decodeEntry decodes an entry and copies its data, so that the content of the
// segment can be freed. ok is false if the payload is too short.
func decodeEntry(payload []byte) (entry raft.Entry, ok bool) {
	if len(payload) < entryHeaderSize {
		return entry, false
	}
	entry = raft.Entry{
		Index: binary.BigEndian.Uint64(payload),
		Term:  binary.BigEndian.Uint64(payload[8:]),
		Kind:  raft.EntryKind(payload[16]),
	}
	if len(payload) > entryHeaderSize {
		entry.Data = append([]byte(nil), payload[entryHeaderSize:]...)
	}
	return entry, true
}
