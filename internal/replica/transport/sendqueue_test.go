package transport

import (
	"testing"

	"github.com/decklever/decklever/internal/raft"
)

func TestSendQueue_BoundsQueuedBytes(t *testing.T) {
	q := newSendQueue()
	entries := []raft.Entry{{Data: make([]byte, maxRequestBytes/2)}}
	for range 100 {
		q.push(raft.Message{Kind: raft.MessageAppend, Entries: entries})
	}
	if q.bytes > maxQueuedBytes {
		t.Fatalf("%d bytes queued, want at most %d", q.bytes, maxQueuedBytes)
	}
	queued := len(q.messages)
	taken := 0
	for batch := q.take(); len(batch) > 0; batch = q.take() {
		if len(batch) > 2 {
			t.Fatalf("%d messages in one request, want at most 2", len(batch))
		}
		taken += len(batch)
	}
	if taken != queued || q.bytes != 0 {
		t.Fatalf("took %d of %d messages with %d bytes left, want all of them and 0 bytes", taken, queued, q.bytes)
	}
	if q.push(raft.Message{}) {
		t.Fatal("push to an empty queue: got mustWait true, want false")
	}
}
