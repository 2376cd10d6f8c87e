package agent

import (
	"fmt"
	"testing"
	"time"
)

func TestSequences_SeqOnlyGrowsPerWorkerID(t *testing.T) {
	scheduler := startScheduler(t)
	agent := startAgent(t, scheduler.address, time.Second)
	for _, step := range []struct {
		id     string
		seq    uint64
		status int
	}{{"a", 1, 200}, {"a", 1, 409}, {"a", 5, 200}, {"a", 4, 409}, {"b", 1, 200}, {"a", 6, 200}} {
		requireStatus(t, agent.post(heartbeatBody(t, step.id, step.seq)), step.status)
	}
	if got := scheduler.callCount(); got != 4 {
		t.Fatalf("got %d calls, want 4", got)
	}
}

func TestSequences_IdleWorkerIDsAreRemoved(t *testing.T) {
	workers := newSequences()
	now := time.Now()
	for i := range 100 {
		ticket, _ := workers.beginRelay(fmt.Sprint(i), 1, func() {}, now)
		workers.endRelay(ticket)
	}
	workers.beginRelay("new", 1, func() {}, now.Add(idleTimeout+time.Second))
	if len(workers.workers) != 1 {
		t.Fatalf("got %d worker ids, want only the new one", len(workers.workers))
	}
}
