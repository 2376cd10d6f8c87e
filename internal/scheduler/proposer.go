package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// proposer queues the leader's own commands, which no call requests, until
// leader.proposeLoop commits them. It makes no decisions. enqueueClose and enqueueStop
// queue a run at most once each, which the run records (runState.closing and
// runState.stop).
type proposer struct {
	pending ownCommands
	// reportedEnds has the runs in pending.closes whose end was reported by a worker.
	reportedEnds map[record.RunID]bool
	// wake signals that pending is not empty; it has a buffer of one signal.
	wake chan struct{}
}

// ownCommands are commands of the leader's own. The fields are in the order in which
// proposePending commits them.
type ownCommands struct {
	closes     []record.RunEnd
	expansions []record.Expansion
	stops      map[record.StopReason][]record.RunID
}

// runEnder is the interface through which other components end runs.
type runEnder interface {
	// enqueueClose queues the closing of a run as lost, without a worker's report.
	enqueueClose(run *runState, message string)
	// enqueueStop queues a request to stop a run.
	enqueueStop(run *runState, reason record.StopReason)
	// closeIfNeverAssigned queues the closing of a run whose assignment was certainly
	// never sent, so that it need not be stopped first.
	closeIfNeverAssigned(run *runState)
}

func newProposer() proposer {
	p := proposer{wake: make(chan struct{}, 1)}
	p.clear()
	return p
}

func (p *proposer) clear() {
	p.pending = ownCommands{stops: make(map[record.StopReason][]record.RunID)}
	p.reportedEnds = make(map[record.RunID]bool)
}

// enqueueClose implements runEnder. It has no effect if a close is already queued.
func (p *proposer) enqueueClose(run *runState, message string) {
	if run.closing {
		return
	}
	run.closing = true
	end := record.RunEnd{Run: run.id, Outcome: api.OutcomeLost, Message: message}
	run.addCheckpoint(&end)
	p.pending.closes = append(p.pending.closes, end)
	signal(p.wake)
}

// enqueueStop implements runEnder. It has no effect if the run is already being stopped,
// so the first reason is kept, or being closed.
func (p *proposer) enqueueStop(run *runState, reason record.StopReason) {
	if run.stop != record.StopNone || run.closing {
		return
	}
	run.stop = reason
	p.pending.stops[reason] = append(p.pending.stops[reason], run.id)
	signal(p.wake)
}

// closeIfNeverAssigned implements runEnder.
func (p *proposer) closeIfNeverAssigned(run *runState) {
	if run.neverAssigned() {
		p.enqueueClose(run, "withdrawn before it was ordered")
	}
}

// enqueueEnds queues reported ends that are not in the record yet. Workers repeat their
// reports, so an end that is queued already is skipped.
func (p *proposer) enqueueEnds(ends []record.RunEnd) {
	for _, end := range ends {
		if !p.reportedEnds[end.Run] {
			p.reportedEnds[end.Run] = true
			p.pending.closes = append(p.pending.closes, end)
			signal(p.wake)
		}
	}
}

// enqueueExpansions queues expansions of repeating jobs.
func (p *proposer) enqueueExpansions(expansions []record.Expansion) {
	if len(expansions) == 0 {
		return
	}
	p.pending.expansions = append(p.pending.expansions, expansions...)
	signal(p.wake)
}

// take returns the queued commands and clears the queue.
func (p *proposer) take() ownCommands {
	taken := p.pending
	p.clear()
	return taken
}

// proposeLoop commits queued commands until the term ends.
func (l *leader) proposeLoop() {
	for {
		select {
		case <-l.context.Done():
			return
		case <-l.proposer.wake:
			l.proposePending()
		}
	}
}

// proposePending commits the queued commands. Closes go first, since they free capacity.
func (l *leader) proposePending() {
	l.mu.Lock()
	commands := l.proposer.take()
	l.mu.Unlock()
	if len(commands.closes) > 0 {
		l.proposeUntilCommitted("close", record.Command{CloseRuns: &record.CloseRuns{Runs: commands.closes}})
	}
	l.proposeExpansions(commands.expansions)
	for reason, runs := range commands.stops {
		l.proposeUntilCommitted("stop", record.Command{StopRuns: &record.StopRuns{Runs: runs, Reason: reason}})
	}
}

// proposeExpansions commits expansions, and then schedules the next ones of their jobs.
func (l *leader) proposeExpansions(expansions []record.Expansion) {
	if len(expansions) == 0 {
		return
	}
	command := record.Command{ExpandRepeats: &record.ExpandRepeats{Jobs: expansions}}
	if _, done := l.proposeUntilCommitted("expand", command); !done {
		return
	}
	now := l.log.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats.Reschedule(expansions, now)
}
