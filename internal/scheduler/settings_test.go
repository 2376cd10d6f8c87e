package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestSettings_ChangeWakesWatchers(t *testing.T) {
	s := newSettings()
	first := s.changed
	s.set(1, &api.Config{})
	select {
	case <-first:
	default:
		t.Error("channel of the previous configuration: got open, want closed")
	}
	select {
	case <-s.changed:
		t.Error("channel of the configuration in force: got closed, want open")
	default:
	}
}

func TestSettings_RolloutIsCompleteOnceAllLiveProcessesConfirm(t *testing.T) {
	s := newSettings()
	s.set(2, &api.Config{})
	now := time.Hour
	s.observeWatch(protocol.WatchRequest{Process: "new", ConfigVersion: 0}, now)
	s.observeWatch(protocol.WatchRequest{Process: "front", ConfigVersion: 2}, now)
	s.observeAgent(protocol.HeartbeatRequest{Agent: "agent", ConfigVersion: 1}, now)
	for _, c := range []struct {
		name      string
		after     time.Duration
		complete  bool
		processes int
	}{
		{"an agent has a previous version", 0, false, 2},
		{"its lease has expired", watchLease + time.Millisecond, true, 2},
		{"both are removed", processRetention + time.Millisecond, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			rollout := s.rollout(now + c.after)
			if rollout.Complete != c.complete || len(rollout.Processes) != c.processes {
				t.Errorf("got complete %t with %d processes, want %t with %d", rollout.Complete, len(rollout.Processes), c.complete, c.processes)
			}
		})
	}
}
