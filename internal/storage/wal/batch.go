package wal

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/internal/raft"
)

const (
	// entryHeaderSize is index, term and kind, before an entry's data.
	entryHeaderSize = 8 + 8 + 1
	// hardStateHeaderSize is term and commit, before the vote.
	hardStateHeaderSize = 8 + 8
)

// segmentHeader opens a segment, so that those before it can be removed.
type segmentHeader struct {
	ReplicaID raft.ReplicaID `cbor:"1,keyasint"`
	Segment   uint64         `cbor:"2,keyasint"`
	// Size is the length of the file, in bytes. It is durable before the
	// header is written, so a shorter file was truncated.
	Size  int64 `cbor:"3,keyasint"`
	State State `cbor:"4,keyasint"`
}

// State is what the records up to some offset amount to, the entries aside.
type State struct {
	HardState raft.HardState `cbor:"1,keyasint"`
	// SnapshotIndex and SnapshotTerm name the snapshot that must be there, or
	// a newer one; zero if none was taken.
	SnapshotIndex uint64 `cbor:"2,keyasint"`
	SnapshotTerm  uint64 `cbor:"3,keyasint"`
	// FirstIndex: entries before it are discarded.
	FirstIndex uint64 `cbor:"4,keyasint"`
	// LastIndex is the last entry, or the snapshot's if there is none after.
	LastIndex uint64 `cbor:"5,keyasint"`
	// FirstSegment is the oldest segment that must be there.
	FirstSegment uint64 `cbor:"6,keyasint"`
	// ArchiveTransaction is the archive's newest one when that snapshot was
	// made: it holds the ended jobs that the snapshot leaves out.
	ArchiveTransaction uint64 `cbor:"7,keyasint,omitempty"`
}

// SnapshotRecord says that a snapshot is durable, and what it replaces.
type SnapshotRecord struct {
	// Index and Term are those of the snapshot's last entry.
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// FirstIndex and FirstSegment are the oldest that are needed from now on.
	FirstIndex   uint64 `cbor:"3,keyasint"`
	FirstSegment uint64 `cbor:"4,keyasint"`
	// DropLog: no entry from before this record is left.
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

// Batch is what one Append writes, all or nothing.
type Batch struct {
	// HardState is nil if it is unchanged.
	HardState *raft.HardState
	// Entries replace all from the index of the first on.
	Entries []raft.Entry

	// snapshot is encoded as snapshotPayload.
	snapshot        *SnapshotRecord
	snapshotPayload []byte
	// closed: the log is closed in order.
	closed bool
}

// NewSnapshotBatch returns a batch of one snapshot record.
func NewSnapshotBatch(snapshot SnapshotRecord) (Batch, error) {
	payload, err := cbor.Marshal(snapshot)
	return Batch{snapshot: &snapshot, snapshotPayload: payload}, err
}

// Empty reports whether there is nothing to write.
func (b Batch) Empty() bool { return b.records() == 0 }

// records counts the records.
func (b Batch) records() int {
	count := len(b.Entries)
	for _, present := range []bool{b.snapshot != nil, b.HardState != nil, b.closed} {
		if present {
			count++
		}
	}
	return count
}

// size is the length of the encoded batch, in bytes.
func (b Batch) size() int64 {
	size := int64(b.records()*recordHeaderSize + len(b.snapshotPayload))
	if b.HardState != nil {
		size += int64(hardStateHeaderSize + len(b.HardState.VotedFor))
	}
	for _, entry := range b.Entries {
		size += int64(entryHeaderSize + len(entry.Data))
	}
	return size
}

// encode appends the batch, whose first record gets the sequence.
func (b Batch) encode(buffer []byte, sequence, synced uint64) []byte {
	last := sequence + uint64(b.records()) - 1
	add := func(kind recordType, payload func([]byte) []byte) {
		var start int
		buffer, start = beginRecord(buffer)
		buffer = payload(buffer)
		endRecord(buffer, start, logRecord{Sequence: sequence, Synced: synced, Type: kind, End: sequence == last})
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
	if b.closed {
		add(recordTypeClosed, func(to []byte) []byte { return to })
	}
	return buffer
}

// applyTo brings a state to what it is after the batch.
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

// decodeEntry copies the data, so that the content of a segment can be freed.
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
