package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/decklever/decklever/internal/record"
)

// States of a proposal: its caller may cancel it until the loop takes it.
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
	// term is the one that the command was appended in. It belongs to the loop.
	term uint64
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

// abandon ends the wait of the caller. It returns notTaken if the loop can no
// longer take the proposal, else the outcome if there is one, else taken.
func (p *proposal) abandon(notTaken, taken error) (record.Result, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalCanceled) {
		return record.Result{}, notTaken
	}
	select {
	case outcome := <-p.done:
		return outcome.result, outcome.err
	default:
		return record.Result{}, taken
	}
}

// proposer is the callers' side of proposals: it encodes commands, queues them for
// the loop, and waits for their outcome.
type proposer struct {
	published *published
	clock     *sharedClock
	mailbox   *mailbox
}

// propose implements Log.Propose. If ctx ends first, the error matches its error
// and either ErrOverloaded (no effect) or ErrOutcomeUnknown.
func (p *proposer) propose(ctx context.Context, token uint64, command record.Command) (record.Result, error) {
	if !p.published.leads(token) {
		return record.Result{}, p.mailbox.notLeaderOrStopped()
	}
	command.Time, command.Token = p.clock.now(p.published.monotonic.now()), token
	data, err := record.Encode(command)
	if err != nil {
		return record.Result{}, fmt.Errorf("encode command: %w", err)
	}
	queued := &proposal{token: token, data: data, done: make(chan proposalOutcome, 1)}
	if !p.mailbox.submit(queued) {
		return record.Result{}, ErrOverloaded
	}
	select {
	case outcome := <-queued.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return queued.abandon(fmt.Errorf("%w: %w", ErrOverloaded, ctx.Err()), fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err()))
	case <-p.mailbox.stopped:
		return queued.abandon(ErrStopped, ErrOutcomeUnknown)
	}
}
