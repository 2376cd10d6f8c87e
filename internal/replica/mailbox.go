package replica

import (
	"context"

	"github.com/decklever/decklever/internal/raft"
)

// Bounds of the queues into the loop. What does not fit is rejected (proposals),
// dropped (messages, which raft sends again) or waits (calls).
const (
	proposalQueueLength = 4096
	messageQueueLength  = 256
	callQueueLength     = 64
)

// inbound is one RaftRequest.
type inbound struct {
	sender   raft.Member
	messages []raft.Message
}

// loopCall is a function to run in the loop's goroutine.
type loopCall struct {
	run  func(*loop) error
	done chan error // of capacity 1
}

// mailbox is the only way into the loop for other goroutines. The loop receives
// from its channels.
type mailbox struct {
	messages  chan inbound
	proposals chan *proposal
	calls     chan loopCall
	// stopped is closed once the loop has ended and every proposal that it took
	// has its outcome. Only then is it certain that nothing more is applied.
	stopped chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{
		messages:  make(chan inbound, messageQueueLength),
		proposals: make(chan *proposal, proposalQueueLength),
		calls:     make(chan loopCall, callQueueLength),
		stopped:   make(chan struct{}),
	}
}

// runOnLoop runs a function in the loop's goroutine and returns its error. With
// another error, which is ErrStopped or the context's, it may run yet.
func (m *mailbox) runOnLoop(ctx context.Context, run func(*loop) error) error {
	call := loopCall{run: run, done: make(chan error, 1)}
	select {
	case m.calls <- call:
	case <-m.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-call.done:
		return err
	case <-m.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver queues raft messages, and drops them if the queue is full.
func (m *mailbox) deliver(received inbound) {
	select {
	case m.messages <- received:
	default:
	}
}

// submit queues a proposal; false if the queue is full.
func (m *mailbox) submit(p *proposal) bool {
	select {
	case m.proposals <- p:
		return true
	default:
		return false
	}
}

// notLeaderOrStopped is why a replica that does not lead rejects a call.
func (m *mailbox) notLeaderOrStopped() error {
	select {
	case <-m.stopped:
		return ErrStopped
	default:
		return ErrNotLeader
	}
}
