package checker

import (
	"slices"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/monoclock"
)

// span is the time from one reading of the clock to another, both included.
type span struct{ from, to monoclock.Nanos }

// overlaps reports whether the span has a moment in common with the time from one
// reading to another.
func (s span) overlaps(from, to monoclock.Nanos) bool { return s.from <= to && s.to >= from }

// link is one direction between two processes.
type link struct{ from, to string }

func linkOf(entry calllog.Entry) link { return link{entry.Process, entry.Peer} }

// network is which processes run and which links are open at a moment, by the faults
// that the test bed injected. Faults of a link are counted, as they may overlap.
type network struct {
	// down are the processes that ended or were told to; exited are those of them
	// that surely do nothing any more.
	down, exited, frozen, wiped map[string]bool
	partitions                  map[link]int
}

func newNetwork() *network {
	return &network{
		down: map[string]bool{}, exited: map[string]bool{}, frozen: map[string]bool{}, wiped: map[string]bool{},
		partitions: map[link]int{},
	}
}

// apply takes one fault into account.
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

// running reports whether a process runs.
func (n *network) running(process string) bool { return !n.down[process] && !n.frozen[process] }

// canReport reports whether a process may still send something: one that was told to
// end reports what it stops, until it has ended.
func (n *network) canReport(process string) bool { return !n.exited[process] && !n.frozen[process] }

// canVote reports whether a scheduler runs and has kept what it acknowledged.
func (n *network) canVote(scheduler string) bool { return n.running(scheduler) && !n.wiped[scheduler] }

// connected reports whether data passes in both directions between two processes.
func (n *network) connected(a, b string) bool {
	return a == b || (n.partitions[link{a, b}] == 0 && n.partitions[link{b, a}] == 0)
}

// majority reports whether some scheduler is connected with enough others to lead.
func (n *network) majority(schedulers []string) bool {
	for _, one := range schedulers {
		count := 0
		for _, other := range schedulers {
			if n.canVote(one) && n.canVote(other) && n.connected(one, other) {
				count++
			}
		}
		if 2*count > len(schedulers) {
			return true
		}
	}
	return len(schedulers) == 0
}

// reachesMajority reports whether a process is connected with a majority of the
// schedulers, whether they run or not.
func (n *network) reachesMajority(process string, schedulers []string) bool {
	count := 0
	for _, scheduler := range schedulers {
		if n.connected(process, scheduler) {
			count++
		}
	}
	return 2*count > len(schedulers) || len(schedulers) == 0
}

// canSend reports whether what a process sends can reach one of the schedulers, whether
// it runs or not.
func (n *network) canSend(process string, schedulers []string) bool {
	return len(schedulers) == 0 || slices.ContainsFunc(schedulers, func(scheduler string) bool {
		return n.partitions[link{process, scheduler}] == 0
	})
}

// spansWhere returns the times during which something was true of the network.
func (f *facts) spansWhere(holds func(*network) bool) []span {
	state := newNetwork()
	var spans []span
	var since monoclock.Nanos
	open := false
	for _, entry := range f.faultEntries {
		state.apply(entry)
		now := holds(state)
		switch {
		case now && !open:
			since = entry.Answered
		case !now && open:
			spans = append(spans, span{since, entry.Answered})
		}
		open = now
	}
	if open {
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
// not receive their answers, because of a fault of its own, its agent, or a link of
// theirs.
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

// isolatedSpans returns the times during which nothing that a worker sent could reach
// any scheduler.
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

// schedulerFaults returns when schedulers or links between them failed or recovered,
// each of which may bring a new leader.
func (f *facts) schedulerFaults() []monoclock.Nanos {
	var times []monoclock.Nanos
	for _, entry := range f.faultEntries {
		isControl := slices.Contains(f.input.Schedulers, entry.Process)
		if isControl && (entry.Peer == "" || slices.Contains(f.input.Schedulers, entry.Peer)) {
			times = append(times, entry.Answered)
		}
	}
	return times
}
