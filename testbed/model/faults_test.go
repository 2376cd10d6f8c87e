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

// drawSlots draws worker slots that no fault has yet, by the seed of the scenario.
func (s *scenarioRun) drawSlots(count int) []*workerSlot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var drawn []*workerSlot
	for _, number := range s.random.Perm(len(s.slots)) {
		one := s.slots[number]
		if len(drawn) < count && !s.struck[one] {
			s.struck[one] = true
			drawn = append(drawn, one)
		}
	}
	return drawn
}

// forEach does something for all slots at once.
func forEach(slots []*workerSlot, what func(*workerSlot)) {
	var all sync.WaitGroup
	for _, one := range slots {
		all.Go(func() { what(one) })
	}
	all.Wait()
}

func (s *scenarioRun) misbehaveFor(ctx context.Context, slots []*workerSlot, behaves behaviour, length time.Duration) {
	for _, one := range slots {
		one.setBehaviour(behaves)
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

// partitionWorkers partitions workers' agents from all schedulers; the workers run on.
func (s *scenarioRun) partitionWorkers(ctx context.Context, slots []*workerSlot, length time.Duration) {
	var agents []string
	for _, one := range slots {
		agents = append(agents, one.described().Agent)
	}
	s.partition(ctx, length, agents, names(s.schedulers))
}

// isolateLeader partitions the leader from the other schedulers and from nothing else.
func (s *scenarioRun) isolateLeader(ctx context.Context, length time.Duration) {
	leader := s.awaitLeader()
	s.partition(ctx, length, []string{leader.name}, names(s.peers(leader)))
}

// partitionZone partitions the leader's zone from all others.
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

// jumpClock has the wall clocks of the leader and of another voter jump, one ahead and
// one back, and then right again.
func (s *scenarioRun) jumpClock(ctx context.Context, offset time.Duration) {
	leader := s.awaitLeader()
	other := slices.DeleteFunc(s.voters(), func(one *schedulerMachine) bool { return one == leader })[0]
	leader.wallOffset.Store(int64(offset))
	other.wallOffset.Store(int64(-offset))
	contexttime.Sleep(ctx, offset)
	leader.wallOffset.Store(0)
	other.wallOffset.Store(0)
}

// reorderAnswers delays a share of what schedulers answer to agents.
func (s *scenarioRun) reorderAnswers(ctx context.Context, probability float64, by, length time.Duration) {
	end := s.network.reorder(probability, by, func(way link) bool {
		return strings.HasPrefix(way.from, "scheduler-") && strings.HasPrefix(way.to, "agent-")
	})
	contexttime.Sleep(ctx, length)
	end()
}

// losePowerAfterAcknowledging has schedulers lose power, with all that they did not
// sync, right after an order is acknowledged.
func (s *scenarioRun) losePowerAfterAcknowledging(ctx context.Context, machines []*schedulerMachine, down time.Duration) {
	s.office.put(ctx, s.office.changedOrder(nil))
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
	s.office.read(ctx)
}

// loseLeadersWhileWorkEnds partitions a leader from the other schedulers, so that
// nothing it receives can be committed, while workers still report ends to it, and then
// has it lose power.
func (s *scenarioRun) loseLeadersWhileWorkEnds(ctx context.Context, times int) {
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

// loseDisksInTurn has voters, the leader first, lose their disks right after an
// acknowledgement, each one as soon as the one before votes again.
func (s *scenarioRun) loseDisksInTurn(ctx context.Context, count int) {
	lost := s.awaitLeader()
	for range count {
		s.office.put(ctx, s.office.changedOrder(nil))
		lost.kill()
		lost.newDisk()
		s.fault(calllog.Entry{Process: lost.name, Action: calllog.ActionWipe})
		lost.start()
		s.awaitVoterInPlaceOf(lost)
		s.fault(calllog.Entry{Process: lost.name, Action: calllog.ActionJoined})
		s.office.read(ctx)
		lost = s.awaitLeader()
	}
}

// awaitVoterInPlaceOf waits until as many vote as should, each of which has its
// disk, and the machine has joined.
func (s *scenarioRun) awaitVoterInPlaceOf(machine *schedulerMachine) {
	s.await("all seats are taken again, and "+machine.name+" has joined", func() bool {
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
		return joined && len(membership.Outgoing) == 0 && present == 2*s.shape.tolerate+1
	})
}

// missManyChanges has a scheduler down while the configuration changes many times; it
// returns, and the leader is stopped.
func (s *scenarioRun) missManyChanges(ctx context.Context, changes int) {
	leader := s.awaitLeader()
	away := slices.DeleteFunc(s.voters(), func(one *schedulerMachine) bool { return one == leader })[0]
	away.losePower()
	s.office.change(ctx, changes, time.Millisecond)
	away.start()
	contexttime.Sleep(ctx, time.Second)
	s.killLeader(ctx, time.Second)
	s.office.read(ctx)
}
