package replica

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Limits of one batch of proposals; the proposals of a batch share one sync.
const (
	maxBatchCommands = 256
	maxBatchBytes    = 1 << 20
)

// appender appends queued proposals to the log in batches, and completes each once its
// entry is applied or can no longer be. It is owned by the loop goroutine.
type appender struct {
	node      *raft.Node
	monotonic monotonicClock
	queue     <-chan *proposal
	pacer     batchPacer
	// pending holds the proposals that are appended but not yet applied.
	pending pendingProposals
	// appended counts the commands that were appended.
	appended prometheus.Counter
}

// appendBatch appends first and the other queued proposals, up to the limits of a batch.
func (a *appender) appendBatch(first *proposal) {
	batch, commands := a.collectBatch(first)
	if len(batch) == 0 {
		return
	}
	index, term, err := a.node.Propose(a.monotonic.now(), commands)
	if err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipTransferPending) {
			err = ErrNotLeader
		}
		for _, p := range batch {
			p.finish(record.Result{}, err)
		}
		return
	}
	a.pacer.recordBatch(a.monotonic.now())
	a.appended.Add(float64(len(batch)))
	for i, p := range batch {
		p.term = term
		a.pending[index+uint64(i)] = p
	}
}

// collectBatch returns the admitted proposals of the next batch and their encoded commands.
func (a *appender) collectBatch(next *proposal) (batch []*proposal, commands [][]byte) {
	status := a.node.Status()
	for size := 0; ; {
		if admit(next, status) {
			batch = append(batch, next)
			commands = append(commands, next.data)
			size += len(next.data)
		}
		if len(batch) >= maxBatchCommands || size >= maxBatchBytes {
			return batch, commands
		}
		select {
		case next = <-a.queue:
		default:
			return batch, commands
		}
	}
}

// admit takes a queued proposal, which its caller can then no longer cancel. It returns
// false if the proposal was canceled already, or if this replica does not lead in the
// proposal's term; in the latter case the proposal fails with ErrNotLeader.
func admit(p *proposal, status raft.Status) bool {
	if !p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return false
	}
	if status.Role != raft.RoleLeader || status.Term != p.token {
		p.finish(record.Result{}, ErrNotLeader)
		return false
	}
	return true
}

// rejectQueued rejects all queued proposals with err. It is called when the loop has ended.
func (a *appender) rejectQueued(err error) {
	for {
		select {
		case p := <-a.queue:
			p.reject(err)
		default:
			return
		}
	}
}

// pendingProposals holds the appended but not yet applied proposals by log index.
type pendingProposals map[uint64]*proposal

// complete passes the result of an applied entry to the proposal at its index, if there
// is one. If the entry has another term, the proposal was overwritten and never takes
// effect, so it fails with ErrNotLeader.
func (p pendingProposals) complete(entry raft.Entry, result record.Result) {
	pending, ok := p[entry.Index]
	if !ok {
		return
	}
	delete(p, entry.Index)
	if pending.term != entry.Term {
		pending.finish(record.Result{}, ErrNotLeader)
		return
	}
	pending.finish(result, nil)
}

// fail completes all pending proposals with err. It is called when this replica's term as
// leader has ended.
func (p pendingProposals) fail(err error) {
	for index, pending := range p {
		pending.finish(record.Result{}, err)
		delete(p, index)
	}
}
