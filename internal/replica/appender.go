package replica

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Bounds of one batch of proposals, which shares one sync.
const (
	maxBatchCommands = 256
	maxBatchBytes    = 1 << 20
)

// appender turns queued proposals into entries of the log, in batches, and answers
// them once they are applied or can no longer be. It belongs to the loop.
type appender struct {
	node      *raft.Node
	monotonic monotonicClock
	queue     <-chan *proposal
	pacer     batchPacer
	// pending are appended and not yet applied.
	pending pendingProposals
	// appended counts the commands.
	appended prometheus.Counter
}

// appendBatch appends the first proposal and what else is queued.
func (a *appender) appendBatch(first *proposal) {
	batch, commands := a.collect(first)
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

func (a *appender) collect(next *proposal) (batch []*proposal, commands [][]byte) {
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

// admit takes a proposal from its caller, unless it was canceled or belongs to
// another term.
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

// rejectQueued rejects all that is queued, when the loop has ended.
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

// pendingProposals are appended and not yet applied, by index.
type pendingProposals map[uint64]*proposal

// complete gives a caller the result of its entry. An entry of another term at that
// index means that the proposal was overwritten and never takes effect.
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

// fail ends all that are pending, when their term has ended here.
func (p pendingProposals) fail(err error) {
	for index, pending := range p {
		pending.finish(record.Result{}, err)
		delete(p, index)
	}
}
