package model

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

// scenario is a load with the faults that happen beside it.
type scenario struct {
	load load
	// lostAnswers is the share of answers to operators that are lost.
	lostAnswers float64
	allowed     tolerances
	// happen causes the faults, beside the load.
	happen func(context.Context, *scenarioRun)
}

// scenarioRun is a scenario in progress.
type scenarioRun struct {
	*fleet
	office *operators
	events sync.WaitGroup
	// struck are the slots that a fault was drawn for.
	struck map[*workerSlot]bool
}

// atTime does something at a time after the beginning of the load.
func (s *scenarioRun) atTime(ctx context.Context, when time.Duration, what func(context.Context)) {
	s.events.Go(func() {
		if contexttime.Sleep(ctx, when) {
			what(ctx)
		}
	})
}

// settleTime lets stops take effect after the last job.
const settleTime = time.Second

// seedsVariable is the number of seeds of each scenario, for longer runs. The seeds
// count from one; odd ones use the first grown shape, even ones the second.
const seedsVariable = "DECKLEVER_MODEL_SEEDS"

// runOnGrownFleets runs a scenario with one seed, or with all seeds up to the number
// that was given.
func runOnGrownFleets(t *testing.T, seed uint64, one scenario) {
	t.Helper()
	seeds := []uint64{seed}
	if text := os.Getenv(seedsVariable); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatalf("%s is %q: %v", seedsVariable, text, err)
		}
		seeds = seeds[:0]
		for next := range count {
			seeds = append(seeds, next+1)
		}
	}
	for _, seed := range seeds {
		size := grownCartago()
		if seed%2 == 1 {
			size = grownRestrepo()
		}
		t.Run(fmt.Sprintf("%s-%d", size.name, seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, size, seed, one)
		})
	}
}

// runScenario runs a scenario on the virtual clock and checks its history.
func runScenario(t *testing.T, size shape, seed uint64, one scenario) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, seed)
		defer f.close()
		s := &scenarioRun{fleet: f, office: f.newOperators(one.lostAnswers), struck: map[*workerSlot]bool{}}
		f.startWorkers()
		from := f.now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.abort = cancel
		one.happen(ctx, s)
		f.submitLoad(ctx, one.load)
		to := from.Add(one.load.over)
		s.events.Wait()
		contexttime.Sleep(ctx, settleTime)
		s.office.read(ctx)
		f.check(from, to, one.allowed)
	})
}

// TestWorkers_FailuresBreakNoPromise: workers crash and come back, go down and up by turns, turn
// slow, stand still, or fail whatever they start while their heartbeats go on.
func TestWorkers_FailuresBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 1, scenario{
		load: load{over: 14 * time.Second, jobs: 110, resent: 0.1, cancelled: 0.05}, allowed: tolerances{minJobs: 80, learned: time.Second, maxFailed: 30},
		happen: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) { s.misbehaveFor(ctx, s.drawSlots(8), behaviour{failing: 1}, 10*time.Second) })
			s.atTime(ctx, time.Second, func(ctx context.Context) { s.misbehaveFor(ctx, s.drawSlots(4), behaviour{stalling: 1}, 8*time.Second) })
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.misbehaveFor(ctx, s.drawSlots(6), behaviour{slower: 2}, 8*time.Second) })
			s.atTime(ctx, 3*time.Second, func(ctx context.Context) { s.crashAndReturn(ctx, s.drawSlots(6), time.Second, 1) })
			s.atTime(ctx, 4*time.Second, func(ctx context.Context) { s.crashAndReturn(ctx, s.drawSlots(3), 1100*time.Millisecond, 3) })
		},
	})
}

// TestWorkers_DeparturesBreakNoPromise: workers drain and leave, are partitioned and
// run on, and a zone is drained and used again.
func TestWorkers_DeparturesBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 2, scenario{
		load: load{over: 16 * time.Second, jobs: 110, resent: 0.1, cancelled: 0.05}, allowed: tolerances{alone: true, minJobs: 80},
		happen: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) { s.leaveAndReturn(ctx, s.drawSlots(6), time.Second) })
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.partitionWorkers(ctx, s.drawSlots(12), 7*time.Second) })
			s.atTime(ctx, 6*time.Second, func(ctx context.Context) { s.office.drainZone(ctx, s.shape.zones[0], 7*time.Second) })
			s.atTime(ctx, 12*time.Second, func(ctx context.Context) { s.partitionWorkers(ctx, s.drawSlots(8), 1500*time.Millisecond) })
		},
	})
}

// TestControl_FailuresBreakNoPromise: the leader is killed, is partitioned from the
// other schedulers for 22 s while agents still reach it, a zone is partitioned, all
// schedulers are restarted in turn, clocks jump, and answers come late and out of
// order.
func TestControl_FailuresBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 1, scenario{
		load: load{over: 34 * time.Second, jobs: 160, resent: 0.1, cancelled: 0.05}, allowed: tolerances{alone: true, minJobs: 110},
		happen: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) { s.isolateLeader(ctx, 22*time.Second) })
			s.atTime(ctx, 4*time.Second, func(ctx context.Context) { s.jumpClock(ctx, 4*time.Second) })
			s.atTime(ctx, 6*time.Second, func(context.Context) { s.killLeader(ctx, time.Second) })
			s.atTime(ctx, 8*time.Second, func(ctx context.Context) { s.reorderAnswers(ctx, 0.2, 1500*time.Millisecond, 4*time.Second) })
			s.atTime(ctx, 14*time.Second, func(ctx context.Context) { s.partitionZone(ctx, 4*time.Second) })
			s.atTime(ctx, 25*time.Second, func(ctx context.Context) { s.restartInTurn(ctx) })
		},
	})
}

// TestStorage_LostPowerAndDisksBreakNoPromise: right after an acknowledgement all
// schedulers lose power, then the leader its disk, and right after that was repaired a
// second voter its own; leaders are lost while workers report ends; and a scheduler
// comes back after hundreds of changes, to lead.
func TestStorage_LostPowerAndDisksBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 2, scenario{
		load: load{over: 30 * time.Second, jobs: 160, resent: 0.1, cancelled: 0.05}, allowed: tolerances{alone: true, minJobs: 110},
		happen: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) {
				s.losePowerAfterAcknowledging(ctx, s.schedulers, time.Second)
				contexttime.Sleep(ctx, 3*time.Second)
				s.loseLeadersWhileWorkEnds(ctx, 3)
				contexttime.Sleep(ctx, 3*time.Second)
				s.loseDisksInTurn(ctx, 2)
				contexttime.Sleep(ctx, time.Second)
				s.missManyChanges(ctx, 200)
			})
		},
	})
}

// TestOperators_RacesInFloodBreakNoPromise: operators race on one version, lose answers and
// send orders again, while impossible jobs, mass cancels and a burst come.
func TestOperators_RacesInFloodBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 1, scenario{
		load: load{over: 14 * time.Second, jobs: 90, resent: 0.3, cancelled: 0.05}, lostAnswers: 0.3, allowed: tolerances{minJobs: 60},
		happen: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) {
				s.office.race(ctx, 12, 4)
				s.office.refuseInvalid(ctx)
				s.office.change(ctx, 5, 200*time.Millisecond)
				s.killLeader(ctx, time.Second)
				s.office.resendAll(ctx)
			})
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.submitImpossible(ctx, 600) })
			s.atTime(ctx, 3*time.Second, func(ctx context.Context) { s.floodCancelled(ctx, 80) })
			s.atTime(ctx, 5*time.Second, func(ctx context.Context) { s.burst(ctx, 30) })
		},
	})
}
