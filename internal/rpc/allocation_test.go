package rpc

import (
	"testing"

	"github.com/decklever/decklever/internal/protocol"
)

// maxCarriageAllocations bounds what a served heartbeat allocates beside what its
// reading does: 28 were counted, 42 before buffers and counters were kept and a
// deadline was made only for who waits for it.
const maxCarriageAllocations = 34

func TestCall_HeartbeatAllocationsAreBounded(t *testing.T) {
	heartbeat := benchHeartbeat()
	connection := serveHeartbeats(t, heartbeat)
	served := testing.AllocsPerRun(200, func() { connection.exchange(t) })
	c := newCodec()
	body, err := c.encode(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	reading := testing.AllocsPerRun(200, func() {
		var read protocol.HeartbeatRequest
		if err := c.decode(body, &read); err != nil {
			t.Fatal(err)
		}
	})
	if carriage := served - reading; carriage > maxCarriageAllocations {
		t.Errorf("%v allocations, %v of them to read the body: %v remain, want %d at most", served, reading, carriage, maxCarriageAllocations)
	} else {
		t.Logf("%v allocations, %v of them to read the body", served, reading)
	}
}
