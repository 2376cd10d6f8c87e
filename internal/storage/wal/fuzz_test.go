package wal

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

// FuzzRecord checks that the decoder does not panic on any input, and that a record
// that decodes is encoded to the same bytes again.
func FuzzRecord(f *testing.F) {
	entries := []raft.Entry{{Index: 1, Term: 3, Data: []byte("first")}, {Index: 2, Term: 3, Data: []byte("second")}}
	state := raft.HardState{Term: 3, VotedFor: "a", Commit: 1}
	batch := Batch{HardState: &state, Entries: entries, closesLog: true}
	f.Add(batch.encode(nil, 4, 3))
	snapshot, err := NewSnapshotBatch(SnapshotRecord{Index: 5, Term: 1, FirstIndex: 3, FirstSegment: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot.encode(nil, 1, 0))
	f.Add(make([]byte, recordHeaderSize))
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, content []byte) {
		decoded, size, ok := decodeRecord(content)
		if ok {
			reencoded, start := beginRecord(nil)
			reencoded = append(reencoded, decoded.Payload...)
			endRecord(reencoded, start, decoded)
			if !bytes.Equal(reencoded, content[:size]) {
				t.Fatalf("record %x is valid but encodes to %x", content[:size], reencoded)
			}
			if state, ok := decodeHardState(decoded.Payload); ok && !bytes.Equal(appendHardState(nil, state), decoded.Payload) {
				t.Fatalf("hard state %+v does not encode to the payload that it was decoded from", state)
			}
			if entry, ok := decodeEntry(decoded.Payload); ok && !bytes.Equal(appendEntry(nil, &entry), decoded.Payload) {
				t.Fatalf("entry %+v does not encode to the payload that it was decoded from", entry)
			}
		}
		provesSynced(content, 1)
	})
}
