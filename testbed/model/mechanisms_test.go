package model

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/featuregate"
)

// TestPromises_HoldWithoutOptionalMechanisms: whatever an experiment switches off,
// alone or all at once, no promise is broken, since none depends on it. Work may be
// slower: how many jobs end in time is not checked.
func TestPromises_HoldWithoutOptionalMechanisms(t *testing.T) {
	t.Parallel()
	sets := map[string][]featuregate.Feature{"all": featuregate.All()}
	for _, name := range featuregate.All() {
		sets[string(name)] = []featuregate.Feature{name}
	}
	for name, off := range sets {
		size := smallShape(t, off)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, size, 1, scenario{
				load:    load{over: 8 * time.Second, jobs: 40, resent: 0.1, cancelled: 0.1},
				allowed: tolerances{alone: true, learned: time.Second, maxFailed: 1000},
				happen: func(ctx context.Context, s *scenarioRun) {
					s.atTime(ctx, time.Second, func(ctx context.Context) { s.misbehaveFor(ctx, s.drawSlots(2), behaviour{failing: 1}, 3*time.Second) })
					s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.crashAndReturn(ctx, s.drawSlots(2), time.Second, 1) })
					s.atTime(ctx, 3*time.Second, func(ctx context.Context) { s.partitionWorkers(ctx, s.drawSlots(2), 2*time.Second) })
					s.atTime(ctx, 4*time.Second, func(ctx context.Context) { s.leaveAndReturn(ctx, s.drawSlots(2), time.Second) })
					s.atTime(ctx, 5*time.Second, func(context.Context) { s.killLeader(ctx, time.Second) })
				},
			})
		})
	}
}

// smallShape is a fleet of a few machines without some mechanisms.
func smallShape(t *testing.T, off []featuregate.Feature) shape {
	t.Helper()
	var names []string
	for _, name := range off {
		names = append(names, string(name))
	}
	parsed, err := featuregate.Parse(names)
	if err != nil {
		t.Fatal(err)
	}
	return shape{
		name: fmt.Sprint("without-", len(names)), zones: []string{"z1", "z2", "z3"},
		schedulers: 3, fronts: 2, workers: 9, tolerate: 1, rack: 3, off: parsed,
	}
}
