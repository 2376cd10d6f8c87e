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

// exceedThreshold makes a threshold exceeded by a wait that is above the limit for long
// enough.
func exceedThreshold(threshold *admission.WaitThreshold) {
	for _, now := range []time.Duration{0, time.Hour} {
		threshold.Observe(now, 2*time.Second, time.Second, true)
	}
}

// TestDeference_QueuesDeferredTo: queue "a" has an objective of 2 s. The names of the
// others end with their objective in seconds.
func TestDeference_QueuesDeferredTo(t *testing.T) {
	queues := []api.QueueConfig{{Name: "none"}}
	for name, target := range map[string]time.Duration{"a": 2, "shorter-1": 1, "equal-2": 2, "twice-4": 4, "longer-5": 5} {
		queues = append(queues, api.QueueConfig{Name: name, Objective: &api.ObjectiveConfig{Target: api.Duration(target * time.Second)}})
	}
	cases := []struct {
		name    string
		prepare func(*Queue)
		want    map[string]bool
	}{
		{"within its objective", func(*Queue) {}, nil},
		{"at risk", func(q *Queue) { exceedThreshold(&q.atRisk) }, map[string]bool{"shorter-1": true, "equal-2": true, "twice-4": true}},
		{
			"overloaded", func(q *Queue) { exceedThreshold(&q.overloaded) },
			map[string]bool{"shorter-1": true, "equal-2": true, "twice-4": true, "longer-5": true},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(func() time.Duration { return 0 }, featuregate.DisabledSet{})
			c.prepare(tracker.Queue("a"))
			if diff := cmp.Diff(c.want, deferencesOf(t, tracker.deferencesOf(queues), "a")); diff != "" {
				t.Errorf("queues to which a defers (-want +got):\n%s", diff)
			}
		})
	}
}

// deferencesOf returns the queues to which a queue defers, and fails the test if another
// queue defers.
func deferencesOf(t *testing.T, deferences []placement.Deference, name string) map[string]bool {
	t.Helper()
	var found map[string]bool
	for _, deference := range deferences {
		if deference.Queue != name {
			t.Errorf("queue %s defers, want no other than a to defer", deference.Queue)
			continue
		}
		found = map[string]bool{}
		for _, to := range deference.To {
			found[to] = true
		}
	}
	return found
}
