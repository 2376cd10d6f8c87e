package checker

import (
	"slices"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// span is the time from one clock reading to another, both included.
type span struct{ from, to monoclock.Nanos }

// overlaps reports whether the span has a moment in common with the time from one clock
// reading to another.
func (s span) overlaps(from, to monoclock.Nanos) bool { return s.from <= to && s.to >= from }

// link is one direction of the connection between two processes.
type link struct{ from, to string }

func linkOf(entry calllog.Entry) link { return link{entry.Process, entry.Peer} }

// network is the state of the processes and links at a moment, according to the faults
// that the test bed injected. Partitions and stalls of a link are counted, as they may
// overlap.
type network struct {
	// down are the processes that exited, were killed, or were sent a termination
	// signal; exited are those of them that certainly do nothing any more.
	down, exited, frozen, wiped map[string]bool
	partitions                  map[link]int
}

func newNetwork() *network {
	return &network{
		down: map[string]bool{}, exited: map[string]bool{}, frozen: map[string]bool{}, wiped: map[string]bool{},
		partitions: map[link]int{},
	}
}

// apply updates the state with one fault.
func (n *network) apply(entry calllog.Entry) {
	switch entry.Action {
	case calllog.ActionStart:
		n.down[entry.Process], n.exited[entry.Process], n.frozen[entry.Process] = false, false, false
	case calllog.ActionTerminate:
		n.down[entry.Process] = true
	case calllog.ActionKill, calllog.ActionExit:
		n.down[entry.Process], n.exited[entry.Process] = true, true
	case calllog.ActionFreeze:
		n.frozen[entry.Process] = true
	case calllog.ActionResume:
		n.frozen[entry.Process] = false
	case calllog.ActionWipe:
		n.wiped[entry.Process] = true
	case calllog.ActionJoined:
		n.wiped[entry.Process] = false
	case calllog.ActionPartition, calllog.ActionStall:
		n.partitions[linkOf(entry)]++
	case calllog.ActionHeal, calllog.ActionEndStall:
		n.partitions[linkOf(entry)]--
	}
}

// running reports whether a process is neither down nor frozen.
func (n *network) running(process string) bool { return !n.down[process] && !n.frozen[process] }

// canReport reports whether a process may still send something. A process that was sent
// a termination signal reports the runs that it stops until it has exited.
func (n *network) canReport(process string) bool { return !n.exited[process] && !n.frozen[process] }

// canVote reports whether a scheduler runs and still has the data that it acknowledged.
func (n *network) canVote(scheduler string) bool { return n.running(scheduler) && !n.wiped[scheduler] }

// connected reports whether data passes in both directions between two processes.
func (n *network) connected(a, b string) bool {
	return a == b || (n.partitions[link{a, b}] == 0 && n.partitions[link{b, a}] == 0)
}

// majority reports whether some scheduler is connected with enough others to lead. It
// is true without schedulers.
func (n *network) majority(schedulers []string) bool {
	for _, candidate := range schedulers {
		count := 0
		for _, other := range schedulers {
			if n.canVote(candidate) && n.canVote(other) && n.connected(candidate, other) {
				count++
			}
		}
		if 2*count > len(schedulers) {
			return true
		}
	}
	return len(schedulers) == 0
}

// reachesMajority reports whether the links between a process and a majority of the
// schedulers are open, whether the schedulers run or not.
func (n *network) reachesMajority(process string, schedulers []string) bool {
	count := 0
	for _, scheduler := range schedulers {
		if n.connected(process, scheduler) {
			count++
		}
	}
	return 2*count > len(schedulers) || len(schedulers) == 0
}

// canSend reports whether a link from a process to one of the schedulers is open,
// whether the scheduler runs or not.
func (n *network) canSend(process string, schedulers []string) bool {
	return len(schedulers) == 0 || slices.ContainsFunc(schedulers, func(scheduler string) bool {
		return n.partitions[link{process, scheduler}] == 0
	})
}

// spansWhere returns the times after the first fault during which a condition was true
// of the network.
func (f *facts) spansWhere(condition func(*network) bool) []span {
	state := newNetwork()
	var spans []span
	var since monoclock.Nanos
	wasTrue := false
	for _, entry := range f.faultEntries {
		state.apply(entry)
		isTrue := condition(state)
		switch {
		case isTrue && !wasTrue:
			since = entry.Answered
		case !isTrue && wasTrue:
			spans = append(spans, span{since, entry.Answered})
		}
		wasTrue = isTrue
	}
	if wasTrue {
		spans = append(spans, span{since, f.input.EndedAt})
	}
	return spans
}

// withoutMajority returns the times during which no majority of the schedulers was
// connected.
func (f *facts) withoutMajority() []span {
	if f.noMajority == nil {
		f.noMajority = append([]span{}, f.spansWhere(func(n *network) bool { return !n.majority(f.input.Schedulers) })...)
	}
	return f.noMajority
}

// unreachableSpans returns the times during which a worker could not send heartbeats or
// not receive the answers, because of a fault of the worker, of its agent, or of a link
// of either.
func (f *facts) unreachableSpans(worker string) []span {
	known, found := f.unreachable[worker]
	if !found {
		agent := f.workers[worker].Agent
		known = f.spansWhere(func(n *network) bool {
			return !n.running(worker) || !n.running(agent) || !n.connected(worker, agent) || !n.reachesMajority(agent, f.input.Schedulers)
		})
		f.unreachable[worker] = known
	}
	return known
}

// isolatedSpans returns the times during which no message of a worker could reach any
// scheduler.
func (f *facts) isolatedSpans(worker string) []span {
	known, found := f.isolated[worker]
	if !found {
		agent := f.workers[worker].Agent
		known = f.spansWhere(func(n *network) bool {
			return !n.canReport(worker) || !n.canReport(agent) || n.partitions[link{worker, agent}] > 0 || !n.canSend(agent, f.input.Schedulers)
		})
		f.isolated[worker] = known
	}
	return known
}

// schedulerFaults returns when schedulers or links between them failed or recovered.
// Each of these events may cause a change of leader.
func (f *facts) schedulerFaults() []monoclock.Nanos {
	var times []monoclock.Nanos
	for _, entry := range f.faultEntries {
		isScheduler := slices.Contains(f.input.Schedulers, entry.Process)
		if isScheduler && (entry.Peer == "" || slices.Contains(f.input.Schedulers, entry.Peer)) {
			times = append(times, entry.Answered)
		}
	}
	return times
}
