package rpc

import (
	"testing"

	"github.com/decklever/decklever/internal/protocol"
)

// maxCallAllocations bounds the allocations of a served heartbeat beside those of
// decoding it. 28 were counted, and 42 before buffers were pooled, counters cached and
// deadline timers made only when something waits for them.
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
	if beside := served - decoding; beside > maxCallAllocations {
		t.Errorf("%v allocations, %v of them to decode the body: %v remain, want %d at most", served, decoding, beside, maxCallAllocations)
	} else {
		t.Logf("%v allocations, %v of them to decode the body", served, decoding)
	}
}
