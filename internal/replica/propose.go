package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/decklever/decklever/internal/record"
)

// States of a proposal. Its caller can cancel it until the loop has taken it.
const (
	proposalQueued int32 = iota
	proposalTaken
	proposalCanceled
)

// proposal is one command that is to be appended to the log.
type proposal struct {
	token uint64
	data  []byte
	state atomic.Int32
	done  chan proposalOutcome // capacity 1, so that finish never blocks
	// term is the term in which the command was appended. It is owned by the loop
	// goroutine.
	term uint64
}

type proposalOutcome struct {
	result record.Result
	err    error
}

// finish passes the outcome to the caller. It must be called at most once.
func (p *proposal) finish(result record.Result, err error) {
	p.done <- proposalOutcome{result: result, err: err}
}

// reject completes a proposal with err if the loop has not taken it and its caller has not
// canceled it.
func (p *proposal) reject(err error) {
	if p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		p.finish(record.Result{}, err)
	}
}

// abandon is called when the caller stops waiting. It cancels the proposal and returns
// errNotTaken if the loop has not taken it. Otherwise it returns the outcome if that is
// known, else errTaken.
func (p *proposal) abandon(errNotTaken, errTaken error) (record.Result, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalCanceled) {
		return record.Result{}, errNotTaken
	}
	select {
	case outcome := <-p.done:
		return outcome.result, outcome.err
	default:
		return record.Result{}, errTaken
	}
}

// proposer encodes commands, queues them for the loop, and waits for their outcome. Any
// goroutine may call it.
type proposer struct {
	published *published
	clock     *sharedClock
	mailbox   *mailbox
}

// propose implements Log.Propose. If ctx ends first, the error matches the context's error
// and either ErrOverloaded (the command has no effect) or ErrOutcomeUnknown.
func (p *proposer) propose(ctx context.Context, token uint64, command record.Command) (record.Result, error) {
	if !p.published.leadsInTerm(token) {
		return record.Result{}, p.mailbox.notLeaderOrStopped()
	}
	command.Time, command.Token = p.clock.now(p.published.monotonic.now()), token
	data, err := record.Encode(command)
	if err != nil {
		return record.Result{}, fmt.Errorf("encode command: %w", err)
	}
	queued := &proposal{token: token, data: data, done: make(chan proposalOutcome, 1)}
	if !p.mailbox.enqueueProposal(queued) {
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
