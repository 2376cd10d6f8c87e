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
			t.Errorf("version only %v: got answer %+v, error %v, want version 1 and a configuration unless version only", versionOnly, answer, err)
		}
	}
}

// Pending watches of processes that have the newest configuration must all be answered
// when the configuration changes.
func TestWatch_PendingCallsAnswerOnChange(t *testing.T) {
	h := newHarness(t)
	const watchers = 20
	versions := make(chan uint64, watchers)
	changes := make([]<-chan struct{}, watchers)
	for i := range watchers {
		request := protocol.WatchRequest{Process: string(rune('a' + i)), ConfigVersion: 1, Token: h.token}
		changes[i] = h.leader.recordProcess(request)
		if changes[i] == nil {
			t.Fatal("process is up to date: got an answer at once, want a pending watch")
		}
		go func() {
			<-changes[i]
			versions <- h.leader.watchAnswer(request).ConfigVersion
		}()
	}
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}, {Name: "r"}}})
	for range watchers {
		select {
		case version := <-versions:
			if version != 2 {
				t.Fatalf("got version %d, want 2", version)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("got no answer to a pending watch within 10 s of the change")
		}
	}
}

// A relayed heartbeat confirms the configuration version of the agent that relays it, so
// that agents need fewer watches.
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
	worker := h.newWorker("w", "w-1")
	relay(worker, 0)
	if processes := rollout().Processes; len(processes) != 0 {
		t.Fatalf("agent without a configuration in force: got processes %+v, want none", processes)
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
			t.Errorf("got roll-out %+v, want process %+v, complete %v", got, want, step.complete)
		}
	}
	h.advance(watchLease + time.Millisecond)
	if age := rollout().Processes[0].AgeMillis; age != watchLease.Milliseconds()+1 {
		t.Errorf("agent without heartbeats: got age %d ms, want watchLease + 1 ms", age)
	}
}

// A watch stays pending for the requested time, but at most maxWatchWait.
func TestWatch_WaitsAsLongAsRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for _, c := range []struct{ requested, want time.Duration }{
			{0, 0},
			{500 * time.Millisecond, 500 * time.Millisecond},
			{maxWatchWait, maxWatchWait},
			{time.Hour, maxWatchWait},
		} {
			request := protocol.WatchRequest{
				Process: "p", ConfigVersion: 1, Token: h.token, VersionOnly: true, MaxWaitMillis: c.requested.Milliseconds(),
			}
			began := time.Now()
			if _, err := h.leader.watch(t.Context(), request); err != nil {
				t.Fatal(err)
			}
			if elapsed := time.Since(began); elapsed != c.want {
				t.Errorf("requested wait %v: got an answer after %v, want %v", c.requested, elapsed, c.want)
			}
		}
	})
}
