package rpc

import (
	"testing"

	"github.com/decklever/decklever/internal/protocol"
)

// maxCallAllocations bounds the allocations for serving a heartbeat, without those for
// decoding it. The count is 28; it was 42 before buffers were pooled, counters cached and
// deadline timers created only when something waits for them.
const maxCallAllocations = 34

func TestCall_HeartbeatAllocationsAreBounded(t *testing.T) {
	heartbeat := benchHeartbeat()
	connection := serveHeartbeats(t, heartbeat)
	served := testing.AllocsPerRun(200, func() { connection.exchange(t) })
	c := newCodec()
	body, err := c.encode(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	decoding := testing.AllocsPerRun(200, func() {
		var decoded protocol.HeartbeatRequest
		if err := c.decode(body, &decoded); err != nil {
			t.Fatal(err)
		}
	})
	if overhead := served - decoding; overhead > maxCallAllocations {
		t.Errorf("got %v allocations, %v of them for decoding the body: got %v for the rest, want at most %d", served, decoding, overhead, maxCallAllocations)
	} else {
		t.Logf("%v allocations, %v of them for decoding the body", served, decoding)
	}
}
