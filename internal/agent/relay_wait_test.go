package agent

import (
	"net/http"
	"testing"
	"time"
)

// TestRelay_HeartbeatWaitsForLeader: a heartbeat must wait in the agent for a leader. If it
// were rejected at once, a leader elected in the meantime would get the worker's next
// heartbeat only an interval later.
func TestRelay_HeartbeatWaitsForLeader(t *testing.T) {
	cases := map[string]string{"no leader is known": "", "the known leader cannot be reached": "127.0.0.1:1"}
	for name, known := range cases {
		t.Run(name, func(t *testing.T) {
			scheduler := startScheduler(t)
			agent := startAgent(t, known, 5*time.Second)
			elected := time.AfterFunc(100*time.Millisecond, func() { agent.link.ObserveHint(scheduler.address) })
			defer elected.Stop()
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
			if got := scheduler.callCount(); got != 1 {
				t.Fatalf("got %d calls, want 1", got)
			}
		})
	}
}
