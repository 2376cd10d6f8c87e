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

// scenario is a load with the faults that are injected during it.
type scenario struct {
	load load
	// lostAnswerShare is the share of answers to operators that are lost.
	lostAnswerShare float64
	allowed         tolerances
	// injectFaults schedules the faults and returns before the load begins.
	injectFaults func(context.Context, *scenarioRun)
}

// scenarioRun is a scenario in progress. The fleet's mutex guards faulted.
type scenarioRun struct {
	*fleet
	operators  *operators
	injections sync.WaitGroup
	// faulted contains the slots that were drawn for a fault.
	faulted map[*workerSlot]bool
}

// atTime calls action in its own goroutine at the given delay after the start of the load.
func (s *scenarioRun) atTime(ctx context.Context, delay time.Duration, action func(context.Context)) {
	s.injections.Go(func() {
		if contexttime.Sleep(ctx, delay) {
			action(ctx)
		}
	})
}

// stopEffectTime is the wait after the load and the faults have ended, in which the last
// stop requests take effect.
const stopEffectTime = time.Second

// seedsVariable is the environment variable with the number of seeds of each scenario, for
// longer runs. The seeds count from 1; odd seeds use grownRestrepo, even ones grownCartago.
const seedsVariable = "DECKLEVER_MODEL_SEEDS"

// runOnGrownFleets runs a scenario with the given seed or, if seedsVariable is set, with all
// seeds from 1 up to its value.
func runOnGrownFleets(t *testing.T, seed uint64, one scenario) {
	t.Helper()
	seeds := []uint64{seed}
	if text := os.Getenv(seedsVariable); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatalf("parse %s, got %q: %v", seedsVariable, text, err)
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

// runScenario runs a scenario on the virtual clock and checks the recorded history.
func runScenario(t *testing.T, size shape, seed uint64, one scenario) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, seed)
		defer f.close()
		s := &scenarioRun{fleet: f, operators: f.newOperators(one.lostAnswerShare), faulted: map[*workerSlot]bool{}}
		f.startWorkers()
		from := f.now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.abort = cancel
		one.injectFaults(ctx, s)
		f.submitLoad(ctx, one.load)
		to := from.Add(one.load.duration)
		s.injections.Wait()
		contexttime.Sleep(ctx, stopEffectTime)
		s.operators.read(ctx)
		f.check(from, to, one.allowed)
	})
}

// TestWorkers_FailuresBreakNoPromise guards against promises that break when workers fail:
// workers crash and restart, once or repeatedly, become slow, stall, or fail all runs they
// start while their heartbeats continue.
func TestWorkers_FailuresBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 1, scenario{
		load: load{duration: 14 * time.Second, jobs: 110, resentShare: 0.1, cancelledShare: 0.05}, allowed: tolerances{minJobs: 80, detectionTime: time.Second, maxFailedRuns: 30},
		injectFaults: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) {
				s.misbehaveFor(ctx, s.drawSlots(8), behaviour{failingShare: 1}, 10*time.Second)
			})
			s.atTime(ctx, time.Second, func(ctx context.Context) {
				s.misbehaveFor(ctx, s.drawSlots(4), behaviour{stallingShare: 1}, 8*time.Second)
			})
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.misbehaveFor(ctx, s.drawSlots(6), behaviour{slowdown: 2}, 8*time.Second) })
			s.atTime(ctx, 3*time.Second, func(ctx context.Context) { s.crashAndReturn(ctx, s.drawSlots(6), time.Second, 1) })
			s.atTime(ctx, 4*time.Second, func(ctx context.Context) { s.crashAndReturn(ctx, s.drawSlots(3), 1100*time.Millisecond, 3) })
		},
	})
}

// TestWorkers_DeparturesBreakNoPromise guards against promises that break when workers
// leave: workers drain and return, keep running while partitioned from the schedulers, and
// a zone is drained and then used again.
func TestWorkers_DeparturesBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 2, scenario{
		load: load{duration: 16 * time.Second, jobs: 110, resentShare: 0.1, cancelledShare: 0.05}, allowed: tolerances{incompleteGangs: true, minJobs: 80},
		injectFaults: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) { s.leaveAndReturn(ctx, s.drawSlots(6), time.Second) })
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.partitionWorkers(ctx, s.drawSlots(12), 7*time.Second) })
			s.atTime(ctx, 6*time.Second, func(ctx context.Context) { s.operators.drainZone(ctx, s.shape.zones[0], 7*time.Second) })
			s.atTime(ctx, 12*time.Second, func(ctx context.Context) { s.partitionWorkers(ctx, s.drawSlots(8), 1500*time.Millisecond) })
		},
	})
}

// TestControl_FailuresBreakNoPromise guards against promises that break when schedulers or
// their network fail: a leader is partitioned from the other schedulers for 22 s while
// agents still reach it, a leader is killed, a zone is partitioned, all schedulers are
// restarted in turn, wall clocks jump, and answers arrive late and out of order.
func TestControl_FailuresBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 1, scenario{
		load: load{duration: 34 * time.Second, jobs: 160, resentShare: 0.1, cancelledShare: 0.05}, allowed: tolerances{incompleteGangs: true, minJobs: 110},
		injectFaults: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) { s.isolateLeader(ctx, 22*time.Second) })
			s.atTime(ctx, 4*time.Second, func(ctx context.Context) { s.jumpClock(ctx, 4*time.Second) })
			s.atTime(ctx, 6*time.Second, func(context.Context) { s.killLeader(ctx, time.Second) })
			s.atTime(ctx, 8*time.Second, func(ctx context.Context) { s.reorderAnswers(ctx, 0.2, 1500*time.Millisecond, 4*time.Second) })
			s.atTime(ctx, 14*time.Second, func(ctx context.Context) { s.partitionZone(ctx, 4*time.Second) })
			s.atTime(ctx, 25*time.Second, func(ctx context.Context) { s.restartInTurn(ctx) })
		},
	})
}

// TestStorage_LostPowerAndDisksBreakNoPromise guards against the loss of acknowledged data.
// All schedulers lose power immediately after an acknowledgement; leaders lose power while
// workers report ends of runs; two leaders in turn lose their disks, the second as soon as
// the first is replaced; and a voter returns after hundreds of configuration changes just
// before the leader is killed, so that it may be elected.
func TestStorage_LostPowerAndDisksBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 2, scenario{
		load: load{duration: 30 * time.Second, jobs: 160, resentShare: 0.1, cancelledShare: 0.05}, allowed: tolerances{incompleteGangs: true, minJobs: 110},
		injectFaults: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) {
				s.losePowerAfterAcknowledging(ctx, s.schedulers, time.Second)
				contexttime.Sleep(ctx, 3*time.Second)
				s.loseLeadersDuringRunEnds(ctx, 3)
				contexttime.Sleep(ctx, 3*time.Second)
				s.loseDisksInTurn(ctx, 2)
				contexttime.Sleep(ctx, time.Second)
				s.missConfigChanges(ctx, 200)
			})
		},
	})
}

// TestOperators_RacesInFloodBreakNoPromise guards against lost or repeated configuration
// changes under load: operators send concurrent orders on the same version, lose answers
// and resend orders, during floods of impossible jobs, of cancelled jobs and a burst.
func TestOperators_RacesInFloodBreakNoPromise(t *testing.T) {
	t.Parallel()
	runOnGrownFleets(t, 1, scenario{
		load: load{duration: 14 * time.Second, jobs: 90, resentShare: 0.3, cancelledShare: 0.05}, lostAnswerShare: 0.3, allowed: tolerances{minJobs: 60},
		injectFaults: func(ctx context.Context, s *scenarioRun) {
			s.atTime(ctx, time.Second, func(ctx context.Context) {
				s.operators.race(ctx, 12, 4)
				s.operators.putInvalidConfig(ctx)
				s.operators.change(ctx, 5, 200*time.Millisecond)
				s.killLeader(ctx, time.Second)
				s.operators.resendAll(ctx)
			})
			s.atTime(ctx, 2*time.Second, func(ctx context.Context) { s.submitImpossible(ctx, 600) })
			s.atTime(ctx, 3*time.Second, func(ctx context.Context) { s.floodCancelled(ctx, 80) })
			s.atTime(ctx, 5*time.Second, func(ctx context.Context) { s.burst(ctx, 30) })
		},
	})
}
