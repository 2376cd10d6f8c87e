package agent

import (
	"net/http"
	"testing"
	"time"
)

// TestRelay_HeartbeatWaitsForLeader: a worker that is rejected at once sends its next
// heartbeat only after an interval, so that a leader that is elected meanwhile would get
// that late.
func TestRelay_HeartbeatWaitsForLeader(t *testing.T) {
	cases := map[string]string{"no leader is known": "", "the known leader cannot be reached": "127.0.0.1:1"}
	for name, known := range cases {
		t.Run(name, func(t *testing.T) {
			scheduler := startScheduler(t)
			agent := startAgent(t, known, 5*time.Second)
			elected := time.AfterFunc(100*time.Millisecond, func() { agent.link.ObserveHint(scheduler.address) })
			defer elected.Stop()
			requireStatus(t, agent.post(heartbeatBody(t, "id", 1)), http.StatusOK)
			if got := scheduler.count(); got != 1 {
				t.Fatalf("%d calls, want 1", got)
			}
		})
	}
}
