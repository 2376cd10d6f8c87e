package model

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
)

// drawSlots draws up to count worker slots that were not drawn for a fault before, from
// the scenario's seed.
func (s *scenarioRun) drawSlots(count int) []*workerSlot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var drawn []*workerSlot
	for _, number := range s.random.Perm(len(s.slots)) {
		one := s.slots[number]
		if len(drawn) < count && !s.faulted[one] {
			s.faulted[one] = true
			drawn = append(drawn, one)
		}
	}
	return drawn
}

// forEach calls action for all slots concurrently and waits for all calls.
func forEach(slots []*workerSlot, action func(*workerSlot)) {
	var all sync.WaitGroup
	for _, one := range slots {
		all.Go(func() { action(one) })
	}
	all.Wait()
}

func (s *scenarioRun) misbehaveFor(ctx context.Context, slots []*workerSlot, injected behaviour, length time.Duration) {
	for _, one := range slots {
		one.setBehaviour(injected)
	}
	contexttime.Sleep(ctx, length)
	for _, one := range slots {
		one.setBehaviour(behaviour{})
	}
}

func (s *scenarioRun) crashAndReturn(ctx context.Context, slots []*workerSlot, down time.Duration, times int) {
	forEach(slots, func(one *workerSlot) {
		for range times {
			one.crash()
			contexttime.Sleep(ctx, down)
			one.start()
			contexttime.Sleep(ctx, down)
		}
	})
}

func (s *scenarioRun) leaveAndReturn(ctx context.Context, slots []*workerSlot, down time.Duration) {
	forEach(slots, func(one *workerSlot) {
		one.drain()
		contexttime.Sleep(ctx, down)
		one.start()
	})
}

// partitionWorkers partitions the agents of workers from all schedulers. The workers keep
// running.
func (s *scenarioRun) partitionWorkers(ctx context.Context, slots []*workerSlot, length time.Duration) {
	var agents []string
	for _, one := range slots {
		agents = append(agents, one.checkerWorker().Agent)
	}
	s.partition(ctx, length, agents, names(s.schedulers))
}

// isolateLeader partitions the leader from the other schedulers only; agents and fronts
// still reach it.
func (s *scenarioRun) isolateLeader(ctx context.Context, length time.Duration) {
	leader := s.awaitLeader()
	s.partition(ctx, length, []string{leader.name}, names(s.peers(leader)))
}

// partitionZone partitions the leader's zone from all other zones.
func (s *scenarioRun) partitionZone(ctx context.Context, length time.Duration) {
	inside := s.processes(s.awaitLeader().zone)
	outside := slices.DeleteFunc(s.processes(""), func(name string) bool { return slices.Contains(inside, name) })
	s.partition(ctx, length, inside, outside)
}

func (s *scenarioRun) killLeader(ctx context.Context, down time.Duration) {
	leader := s.awaitLeader()
	leader.kill()
	contexttime.Sleep(ctx, down)
	leader.start()
}

func (s *scenarioRun) restartInTurn(ctx context.Context) {
	for _, one := range s.schedulers {
		one.terminate()
		contexttime.Sleep(ctx, 200*time.Millisecond)
		one.start()
		s.awaitLeader()
	}
}

// jumpClock sets the wall clock of the leader ahead and that of another voter back, both by
// offset, and corrects both after a time of the same length.
func (s *scenarioRun) jumpClock(ctx context.Context, offset time.Duration) {
	leader := s.awaitLeader()
	other := slices.DeleteFunc(s.voters(), func(one *schedulerMachine) bool { return one == leader })[0]
	leader.wallOffset.Store(int64(offset))
	other.wallOffset.Store(int64(-offset))
	contexttime.Sleep(ctx, offset)
	leader.wallOffset.Store(0)
	other.wallOffset.Store(0)
}

// reorderAnswers delays chunks of data from schedulers to agents with the given probability.
func (s *scenarioRun) reorderAnswers(ctx context.Context, probability float64, delay, length time.Duration) {
	end := s.network.reorder(probability, delay, func(direction link) bool {
		return strings.HasPrefix(direction.from, "scheduler-") && strings.HasPrefix(direction.to, "agent-")
	})
	contexttime.Sleep(ctx, length)
	end()
}

// losePowerAfterAcknowledging makes schedulers lose power, with all data that was not
// synced, immediately after a configuration change is acknowledged.
func (s *scenarioRun) losePowerAfterAcknowledging(ctx context.Context, machines []*schedulerMachine, down time.Duration) {
	s.operators.put(ctx, s.operators.changedOrder(nil))
	var ending sync.WaitGroup
	for _, one := range machines {
		ending.Go(one.losePower)
	}
	ending.Wait()
	contexttime.Sleep(ctx, down)
	for _, one := range machines {
		one.start()
	}
	s.awaitLeader()
	s.operators.read(ctx)
}

// loseLeadersDuringRunEnds partitions a leader from the other schedulers, so that it can
// commit nothing while workers still report ends of runs to it, and then makes it lose
// power.
func (s *scenarioRun) loseLeadersDuringRunEnds(ctx context.Context, times int) {
	for range times {
		leader := s.awaitLeader()
		s.partition(ctx, 350*time.Millisecond, []string{leader.name}, names(s.peers(leader)))
		leader.losePower()
		contexttime.Sleep(ctx, time.Second)
		leader.start()
		s.awaitLeader()
		contexttime.Sleep(ctx, 2*time.Second)
	}
}

// loseDisksInTurn makes the leader lose its disk immediately after a configuration change is
// acknowledged, then the leader at that time, and so on. Each loss follows as soon as all
// voter slots are filled again and the previous machine has rejoined, possibly as a learner.
func (s *scenarioRun) loseDisksInTurn(ctx context.Context, count int) {
	lost := s.awaitLeader()
	for range count {
		s.operators.put(ctx, s.operators.changedOrder(nil))
		lost.kill()
		lost.newDisk()
		s.recordFault(calllog.Entry{Process: lost.name, Action: calllog.ActionWipe})
		lost.start()
		s.awaitVoterInPlaceOf(lost)
		s.recordFault(calllog.Entry{Process: lost.name, Action: calllog.ActionJoined})
		s.operators.read(ctx)
		lost = s.awaitLeader()
	}
}

// awaitVoterInPlaceOf waits until all voter slots are filled by replicas with their current
// disks, and the machine has joined with its new replica ID as a voter or learner.
func (s *scenarioRun) awaitVoterInPlaceOf(machine *schedulerMachine) {
	s.await("all voter slots are filled again, and "+machine.name+" has joined", func() bool {
		leader := s.leader()
		if leader == nil {
			return false
		}
		membership := leader.membership()
		id := machine.store.ReplicaID()
		joined := hasMember(membership.Voters, id) || hasMember(membership.Learners, id)
		present := 0
		for _, one := range s.schedulers {
			if hasMember(membership.Voters, one.store.ReplicaID()) {
				present++
			}
		}
		return joined && len(membership.Outgoing) == 0 && present == 2*s.shape.toleratedLosses+1
	})
}

// missConfigChanges stops a voter while the configuration changes many times, restarts it,
// and kills the leader one second later.
func (s *scenarioRun) missConfigChanges(ctx context.Context, changes int) {
	leader := s.awaitLeader()
	absent := slices.DeleteFunc(s.voters(), func(one *schedulerMachine) bool { return one == leader })[0]
	absent.losePower()
	s.operators.change(ctx, changes, time.Millisecond)
	absent.start()
	contexttime.Sleep(ctx, time.Second)
	s.killLeader(ctx, time.Second)
	s.operators.read(ctx)
}
