package replica

import (
	"testing"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
)

func chunkOf(from raft.ReplicaID, index, offset uint64, data string, last bool) protocol.SnapshotChunkRequest {
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
			{chunk: chunkOf("a", 5, 0, "one", false)},
			{chunk: chunkOf("a", 5, 3, "two", true), complete: true},
		}, "onetwo"},
		"duplicate and overlap": {[]step{
			{chunk: chunkOf("a", 5, 0, "one", false)},
			{chunk: chunkOf("a", 5, 0, "one", false)},
			{chunk: chunkOf("a", 5, 2, "etwo", true), complete: true},
		}, "onetwo"},
		"last chunk again": {[]step{
			{chunk: chunkOf("a", 5, 0, "one", true), complete: true},
			{chunk: chunkOf("a", 5, 0, "one", true)},
		}, "one"},
		"gap": {[]step{
			{chunk: chunkOf("a", 5, 0, "one", false)},
			{chunk: chunkOf("a", 5, 4, "two", false), fails: true},
		}, "one"},
		"another one from its start": {[]step{
			{chunk: chunkOf("a", 5, 0, "one", false)},
			{chunk: chunkOf("b", 6, 0, "two", false)},
		}, "two"},
		"another one from its middle": {[]step{
			{chunk: chunkOf("a", 5, 0, "one", false)},
			{chunk: chunkOf("b", 6, 3, "two", false), fails: true},
		}, "one"},
		"another one while installing": {[]step{
			{chunk: chunkOf("a", 5, 0, "one", true), complete: true},
			{chunk: chunkOf("b", 6, 0, "two", false), fails: true},
		}, "one"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var incoming incomingSnapshot
			for i, step := range c.steps {
				complete, err := incoming.add(step.chunk)
				if complete != step.complete || (err != nil) != step.fails {
					t.Fatalf("chunk %d: complete %v, %v; want %v, fails %v", i, complete, err, step.complete, step.fails)
				}
			}
			if got := string(incoming.data); got != c.data {
				t.Errorf("collected %q, want %q", got, c.data)
			}
		})
	}
}

func TestIncomingSnapshot_FinishLetsAnotherBegin(t *testing.T) {
	var incoming incomingSnapshot
	if complete, err := incoming.add(chunkOf("a", 5, 0, "one", true)); !complete || err != nil {
		t.Fatalf("complete %v, %v", complete, err)
	}
	incoming.finish()
	if _, err := incoming.add(chunkOf("b", 6, 0, "two", false)); err != nil {
		t.Error(err)
	}
	if incoming.address != "address-b" || string(incoming.data) != "two" {
		t.Errorf("collected %q from %s", incoming.data, incoming.address)
	}
}
