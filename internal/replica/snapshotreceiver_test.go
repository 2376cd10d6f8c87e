package replica

import (
	"testing"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
)

// newTestChunk returns a chunk of the snapshot at index, in term 1.
func newTestChunk(from raft.ReplicaID, index, offset uint64, data string, last bool) protocol.SnapshotChunkRequest {
	return protocol.SnapshotChunkRequest{
		From: from, Address: "address-" + string(from), Meta: raft.SnapshotMeta{Index: index, Term: 1},
		Offset: offset, Data: []byte(data), Last: last,
	}
}

func TestIncomingSnapshot_AddChunks(t *testing.T) {
	type step struct {
		chunk    protocol.SnapshotChunkRequest
		complete bool
		fails    bool
	}
	cases := map[string]struct {
		steps []step
		data  string
	}{
		"in order": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", false)},
			{chunk: newTestChunk("a", 5, 3, "two", true), complete: true},
		}, "onetwo"},
		"duplicate and overlap": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", false)},
			{chunk: newTestChunk("a", 5, 0, "one", false)},
			{chunk: newTestChunk("a", 5, 2, "etwo", true), complete: true},
		}, "onetwo"},
		"last chunk again": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", true), complete: true},
			{chunk: newTestChunk("a", 5, 0, "one", true)},
		}, "one"},
		"gap": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", false)},
			{chunk: newTestChunk("a", 5, 4, "two", false), fails: true},
		}, "one"},
		"another snapshot from its start": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", false)},
			{chunk: newTestChunk("b", 6, 0, "two", false)},
		}, "two"},
		"another snapshot from its middle": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", false)},
			{chunk: newTestChunk("b", 6, 3, "two", false), fails: true},
		}, "one"},
		"another snapshot while installing": {[]step{
			{chunk: newTestChunk("a", 5, 0, "one", true), complete: true},
			{chunk: newTestChunk("b", 6, 0, "two", false), fails: true},
		}, "one"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var incoming incomingSnapshot
			for i, step := range c.steps {
				complete, err := incoming.add(step.chunk)
				if complete != step.complete || (err != nil) != step.fails {
					t.Fatalf("chunk %d: got complete %v, error %v; want complete %v, an error %v", i, complete, err, step.complete, step.fails)
				}
			}
			if got := string(incoming.data); got != c.data {
				t.Errorf("got data %q, want %q", got, c.data)
			}
		})
	}
}

func TestIncomingSnapshot_FinishAllowsNextTransfer(t *testing.T) {
	var incoming incomingSnapshot
	if complete, err := incoming.add(newTestChunk("a", 5, 0, "one", true)); !complete || err != nil {
		t.Fatalf("first transfer: got complete %v, error %v, want true and no error", complete, err)
	}
	incoming.finish()
	if _, err := incoming.add(newTestChunk("b", 6, 0, "two", false)); err != nil {
		t.Error(err)
	}
	if incoming.address != "address-b" || string(incoming.data) != "two" {
		t.Errorf("got data %q from %s, want \"two\" from address-b", incoming.data, incoming.address)
	}
}
