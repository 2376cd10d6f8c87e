package model

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
)

// TestPromises_HoldWithoutOptionalMechanisms guards against a promise that depends on an
// optional mechanism. It disables each mechanism alone and then all together, under faults
// of workers, the network and the leader. Jobs may be slower, so the number of jobs that
// end in time is not checked.
func TestPromises_HoldWithoutOptionalMechanisms(t *testing.T) {
	t.Parallel()
	sets := map[string][]featuregate.Feature{"all": featuregate.All()}
	for _, name := range featuregate.All() {
		sets[string(name)] = []featuregate.Feature{name}
	}
	for name, disabled := range sets {
		size := smallShape(t, disabled)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, size, 1, scenario{
				load:    load{duration: 8 * time.Second, jobs: 40, resentShare: 0.1, cancelledShare: 0.1},
				allowed: tolerances{incompleteGangs: true, detectionTime: time.Second, maxFailedRuns: 1000},
				injectFaults: func(ctx context.Context, s *scenarioRun) {
					s.atTime(ctx, time.Second, func(ctx context.Context) {
						s.misbehaveFor(ctx, s.drawSlots(2), behaviour{failingShare: 1}, 3*time.Second)
					})
					s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.crashAndReturn(ctx, s.drawSlots(2), time.Second, 1) })
					s.atTime(ctx, 3*time.Second, func(ctx context.Context) { s.partitionWorkers(ctx, s.drawSlots(2), 2*time.Second) })
					s.atTime(ctx, 4*time.Second, func(ctx context.Context) { s.leaveAndReturn(ctx, s.drawSlots(2), time.Second) })
					s.atTime(ctx, 5*time.Second, func(context.Context) { s.killLeader(ctx, time.Second) })
				},
			})
		})
	}
}

// smallShape returns the shape of a small fleet with the given mechanisms disabled.
func smallShape(t *testing.T, disabled []featuregate.Feature) shape {
	t.Helper()
	var names []string
	for _, name := range disabled {
		names = append(names, string(name))
	}
	parsed, err := featuregate.Parse(names)
	if err != nil {
		t.Fatal(err)
	}
	return shape{
		name: fmt.Sprint("without-", len(names)), zones: []string{"z1", "z2", "z3"},
		schedulers: 3, fronts: 2, workers: 9, toleratedLosses: 1, workersPerRack: 3, disabledFeatures: parsed,
	}
}
