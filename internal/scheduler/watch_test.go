package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestWatch_VersionOnlyOmitsConfig(t *testing.T) {
	h := newHarness(t)
	for _, versionOnly := range []bool{false, true} {
		answer, err := h.leader.watch(t.Context(), protocol.WatchRequest{Process: "p", VersionOnly: versionOnly})
		if err != nil || answer.ConfigVersion != 1 || (answer.Config == nil) != versionOnly {
			t.Errorf("version only %v: %+v, %v", versionOnly, answer, err)
		}
	}
}

// TestWatch_PendingCallsAnswerOnChange has processes that know the newest
// configuration wait for the next one.
func TestWatch_PendingCallsAnswerOnChange(t *testing.T) {
	h := newHarness(t)
	const watchers = 20
	versions := make(chan uint64, watchers)
	counts := make([]<-chan struct{}, watchers)
	for i := range watchers {
		request := protocol.WatchRequest{Process: string(rune('a' + i)), ConfigVersion: 1, Token: h.token}
		counts[i] = h.leader.recordProcess(request)
		if counts[i] == nil {
			t.Fatal("answered at once although nothing is new")
		}
		go func() {
			<-counts[i]
			versions <- h.leader.watchAnswer(request).ConfigVersion
		}()
	}
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}, {Name: "r"}}})
	for range watchers {
		select {
		case version := <-versions:
			if version != 2 {
				t.Fatalf("version %d, want 2", version)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a held watch was not answered at the change")
		}
	}
}

// TestRollout_HeartbeatsConfirmConfig of the agent that relays them, so that
// it need not watch as often for that.
func TestRollout_HeartbeatsConfirmConfig(t *testing.T) {
	h := newHarness(t)
	rollout := func() api.Rollout {
		t.Helper()
		answer, err := h.leader.rollout(t.Context(), protocol.Empty{})
		if err != nil {
			t.Fatal(err)
		}
		return answer.Rollout
	}
	relay := func(worker *fakeWorker, version uint64) {
		t.Helper()
		worker.heartbeat.Seq++
		request := protocol.HeartbeatRequest{Agent: "agent-1", Zone: "z1", Heartbeat: worker.heartbeat, ConfigVersion: version}
		if _, err := h.leader.heartbeat(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	worker := h.worker("w", "w-1")
	relay(worker, 0)
	if processes := rollout().Processes; len(processes) != 0 {
		t.Fatalf("an agent that has nothing in force is listed: %+v", processes)
	}
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}, {Name: "r"}}})
	for _, step := range []struct {
		version  uint64
		complete bool
	}{{1, false}, {2, true}} {
		h.advance(time.Minute)
		relay(worker, step.version)
		got := rollout()
		want := api.ProcessRollout{Process: "agent-1", Role: agentRole, Zone: "z1", Version: step.version}
		if got.Complete != step.complete || len(got.Processes) != 1 || got.Processes[0] != want {
			t.Errorf("roll-out %+v, want %+v, complete %v", got, want, step.complete)
		}
	}
	h.advance(watchLease + time.Millisecond)
	if age := rollout().Processes[0].AgeMillis; age != watchLease.Milliseconds()+1 {
		t.Errorf("a silent agent was heard %d ms ago", age)
	}
}

// TestWatch_WaitsAsLongAsRequested at most maxWatchWait.
func TestWatch_WaitsAsLongAsRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for _, c := range []struct{ asked, held time.Duration }{
			{0, 0},
			{500 * time.Millisecond, 500 * time.Millisecond},
			{maxWatchWait, maxWatchWait},
			{time.Hour, maxWatchWait},
		} {
			request := protocol.WatchRequest{
				Process: "p", ConfigVersion: 1, Token: h.token, VersionOnly: true, MaxWaitMillis: c.asked.Milliseconds(),
			}
			began := time.Now()
			if _, err := h.leader.watch(t.Context(), request); err != nil {
				t.Fatal(err)
			}
			if counts := time.Since(began); counts != c.held {
				t.Errorf("asked for %v, held for %v, want %v", c.asked, counts, c.held)
			}
		}
	})
}
