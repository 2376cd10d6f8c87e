package scheduler

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// proposer queues the leader's own commands, which no call asks for, until
// leader.proposeLoop commits them. It decides nothing: each run is queued at most
// once for closing and once for stopping, since the run itself records that.
type proposer struct {
	pending ownCommands
	// reportedEnds are the runs among pending.closes whose end a worker reported.
	reportedEnds map[record.RunID]bool
	// wake has a buffer of one signal: pending is not empty.
	wake chan struct{}
}

// ownCommands are commands of the leader's own, in the order of their commit.
type ownCommands struct {
	closes     []record.RunEnd
	expansions []record.Expansion
	stops      map[record.StopReason][]record.RunID
}

// runEnder is what other components may ask of the proposer.
type runEnder interface {
	// enqueueClose queues the closing of a run that no report asks for.
	enqueueClose(run *runState, message string)
	// enqueueStop queues the stopping of a run.
	enqueueStop(run *runState, reason record.StopReason)
	// closeIfNeverAssigned closes a run whose assignment was surely not given, so
	// that it need not be stopped.
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

// enqueueClose implements runEnder. A run that is being closed already is left alone.
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

// enqueueStop implements runEnder. The first reason stays.
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

// enqueueEnds queues ends that are not in the record yet, though they were
// reported. The worker repeats them, so each is queued once.
func (p *proposer) enqueueEnds(ends []record.RunEnd) {
	for _, end := range ends {
		if !p.reportedEnds[end.Run] {
			p.reportedEnds[end.Run] = true
			p.pending.closes = append(p.pending.closes, end)
			signal(p.wake)
		}
	}
}

// enqueueExpansions queues the expansion of repeating jobs.
func (p *proposer) enqueueExpansions(expansions []record.Expansion) {
	if len(expansions) == 0 {
		return
	}
	p.pending.expansions = append(p.pending.expansions, expansions...)
	signal(p.wake)
}

// take returns what is queued, and starts empty.
func (p *proposer) take() ownCommands {
	taken := p.pending
	p.clear()
	return taken
}

// proposeLoop commits what is queued, until the term ends.
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

// proposePending commits what is queued. Closes go first: they free capacity.
func (l *leader) proposePending() {
	l.mu.Lock()
	commands := l.proposer.take()
	l.mu.Unlock()
	if len(commands.closes) > 0 {
		l.proposeUntilDone("close", record.Command{CloseRuns: &record.CloseRuns{Runs: commands.closes}})
	}
	l.proposeExpansions(commands.expansions)
	for reason, runs := range commands.stops {
		l.proposeUntilDone("stop", record.Command{StopRuns: &record.StopRuns{Runs: runs, Reason: reason}})
	}
}

// proposeExpansions commits what enqueueExpansions has queued.
func (l *leader) proposeExpansions(expansions []record.Expansion) {
	if len(expansions) == 0 {
		return
	}
	command := record.Command{ExpandRepeats: &record.ExpandRepeats{Jobs: expansions}}
	if _, done := l.proposeUntilDone("expand", command); !done {
		return
	}
	now := l.log.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats.Proposed(expansions, now)
}
