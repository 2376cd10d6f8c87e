package slo

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/admission"
	"github.com/decklever/decklever/internal/featuregate"
	"github.com/decklever/decklever/internal/placement"
)

// closeGate has a gate take in a wait that is too long for long enough.
func closeGate(gate *admission.WaitThreshold) {
	for _, now := range []time.Duration{0, time.Hour} {
		gate.Observe(now, 2*time.Second, time.Second, true)
	}
}

// TestDeference_QueuesDeferredTo: "a" has an objective of 2 s, those of the others are told by
// their names.
func TestDeference_QueuesDeferredTo(t *testing.T) {
	queues := []api.QueueConfig{{Name: "none"}}
	for name, target := range map[string]time.Duration{"a": 2, "shorter-1": 1, "equal-2": 2, "twice-4": 4, "longer-5": 5} {
		queues = append(queues, api.QueueConfig{Name: name, Objective: &api.ObjectiveConfig{Target: api.Duration(target * time.Second)}})
	}
	cases := []struct {
		name   string
		closed func(*Queue)
		want   map[string]bool
	}{
		{"served in time", func(*Queue) {}, nil},
		{"pressed", func(q *Queue) { closeGate(&q.pressed) }, map[string]bool{"shorter-1": true, "equal-2": true, "twice-4": true}},
		{
			"overloaded", func(q *Queue) { closeGate(&q.overloaded) },
			map[string]bool{"shorter-1": true, "equal-2": true, "twice-4": true, "longer-5": true},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(func() time.Duration { return 0 }, featuregate.DisabledSet{})
			c.closed(tracker.Queue("a"))
			if diff := cmp.Diff(c.want, deferencesOf(t, tracker.deferencesOf(queues), "a")); diff != "" {
				t.Errorf("a defers to (-want +got):\n%s", diff)
			}
		})
	}
}

// deferencesOf returns to whom a queue defers; no other may.
func deferencesOf(t *testing.T, deferences []placement.Deference, name string) map[string]bool {
	t.Helper()
	var found map[string]bool
	for _, yield := range deferences {
		if yield.Queue != name {
			t.Errorf("%s defers", yield.Queue)
			continue
		}
		found = map[string]bool{}
		for _, to := range yield.To {
			found[to] = true
		}
	}
	return found
}
