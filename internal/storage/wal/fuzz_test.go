package wal

import (
	"bytes"
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

// FuzzRecord holds that no bytes make the decoder panic, and that a valid record
// is one that is encoded the same.
func FuzzRecord(f *testing.F) {
	entries := []raft.Entry{{Index: 1, Term: 3, Data: []byte("first")}, {Index: 2, Term: 3, Data: []byte("second")}}
	state := raft.HardState{Term: 3, VotedFor: "a", Commit: 1}
	batch := Batch{HardState: &state, Entries: entries, closed: true}
	f.Add(batch.encode(nil, 4, 3))
	snapshot, err := NewSnapshotBatch(SnapshotRecord{Index: 5, Term: 1, FirstIndex: 3, FirstSegment: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot.encode(nil, 1, 0))
	f.Add(make([]byte, recordHeaderSize))
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, content []byte) {
		found, size, ok := decodeRecord(content)
		if ok {
			again, start := beginRecord(nil)
			again = append(again, found.Payload...)
			endRecord(again, start, found)
			if !bytes.Equal(again, content[:size]) {
				t.Fatalf("%x is valid, but is encoded as %x", content[:size], again)
			}
			if state, ok := decodeHardState(found.Payload); ok && !bytes.Equal(appendHardState(nil, state), found.Payload) {
				t.Fatalf("hard state %+v is not encoded the same", state)
			}
			if entry, ok := decodeEntry(found.Payload); ok && !bytes.Equal(appendEntry(nil, &entry), found.Payload) {
				t.Fatalf("entry %+v is not encoded the same", entry)
			}
		}
		provesSynced(content, 1)
	})
}
