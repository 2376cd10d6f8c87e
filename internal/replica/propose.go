package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Bounds of one batch of proposals, which shares one sync.
const (
	maxBatchCommands = 256
	maxBatchBytes    = 1 << 20
)

// Who has a proposal: its caller may withdraw it until the loop takes it.
const (
	proposalQueued int32 = iota
	proposalTaken
	proposalCanceled
)

// proposal is one command on its way into the log.
type proposal struct {
	token uint64
	data  []byte
	state atomic.Int32
	done  chan proposalOutcome // of capacity 1
	term  uint64               // that it was appended in; the loop's
}

type proposalOutcome struct {
	result record.Result
	err    error
}

func (p *proposal) finish(result record.Result, err error) {
	p.done <- proposalOutcome{result: result, err: err}
}

// reject ends a proposal that the loop never appended.
func (p *proposal) reject(err error) {
	if p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		p.finish(record.Result{}, err)
	}
}

// Propose implements Log. If ctx ends first, the error matches its error and
// either ErrOverloaded (no effect) or ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error) {
	if view := r.leadership.Load(); !view.leader || view.term != token {
		return record.Result{}, r.rejection()
	}
	command.Time, command.Token = r.Now(), token
	data, err := record.Encode(command)
	if err != nil {
		return record.Result{}, fmt.Errorf("encode command: %w", err)
	}
	p := &proposal{token: token, data: data, done: make(chan proposalOutcome, 1)}
	select {
	case r.proposals <- p:
	default:
		return record.Result{}, ErrOverloaded
	}
	select {
	case outcome := <-p.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return p.abandon(fmt.Errorf("%w: %w", ErrOverloaded, ctx.Err()), fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err()))
	case <-r.stopped:
		return p.abandon(ErrStopped, ErrOutcomeUnknown)
	}
}

// refusal is why this replica takes no proposal at all.
func (r *Replica) rejection() error {
	select {
	case <-r.stopped:
		return ErrStopped
	default:
		return ErrNotLeader
	}
}

// abandon gives untaken if the loop can no longer take the proposal, else the
// outcome if it is there, else taken.
func (p *proposal) abandon(untaken, taken error) (record.Result, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalCanceled) {
		return record.Result{}, untaken
	}
	select {
	case outcome := <-p.done:
		return outcome.result, outcome.err
	default:
		return record.Result{}, taken
	}
}

// propose appends a batch: the first one and what else waits.
func (l *loop) propose(first *proposal) {
	batch, commands := l.collect(first)
	if len(batch) == 0 {
		return
	}
	index, term, err := l.node.Propose(l.now(), commands)
	if err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipTransferPending) {
			err = ErrNotLeader
		}
		for _, p := range batch {
			p.finish(record.Result{}, err)
		}
		return
	}
	l.pacer.recordBatch(l.now())
	l.metrics.proposals.Add(float64(len(batch)))
	for i, p := range batch {
		p.term = term
		l.pending[index+uint64(i)] = p
	}
}

func (l *loop) collect(next *proposal) (batch []*proposal, commands [][]byte) {
	status := l.node.Status()
	for size := 0; ; {
		if l.admit(next, status) {
			batch = append(batch, next)
			commands = append(commands, next.data)
			size += len(next.data)
		}
		if len(batch) >= maxBatchCommands || size >= maxBatchBytes {
			return batch, commands
		}
		select {
		case next = <-l.proposals:
		default:
			return batch, commands
		}
	}
}

func (l *loop) admit(p *proposal, status raft.Status) bool {
	if !p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return false
	}
	if status.Role != raft.RoleLeader || status.Term != p.token {
		p.finish(record.Result{}, ErrNotLeader)
		return false
	}
	return true
}

// pendingProposals are appended and not applied, by index.
type pendingProposals map[uint64]*proposal

// answer gives a proposer the result of its entry. Another entry in that place
// means that the proposal was replaced and never takes effect.
func (p pendingProposals) complete(entry raft.Entry, result record.Result) {
	waiting, ok := p[entry.Index]
	if !ok {
		return
	}
	delete(p, entry.Index)
	if waiting.term != entry.Term {
		waiting.finish(record.Result{}, ErrNotLeader)
		return
	}
	waiting.finish(result, nil)
}

// fail ends all that wait, when their term has ended here.
func (p pendingProposals) fail(err error) {
	for index, waiting := range p {
		waiting.finish(record.Result{}, err)
		delete(p, index)
	}
}

// failPending ends every proposal and read when the loop stops. The record is
// as the last turn left it, so those appended have an unknown outcome.
func (l *loop) failPending() {
	l.pending.fail(ErrOutcomeUnknown)
	l.reads.fail(ErrStopped)
	for {
		select {
		case p := <-l.proposals:
			p.reject(ErrStopped)
		default:
			return
		}
	}
}
