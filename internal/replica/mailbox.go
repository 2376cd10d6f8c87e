package replica

import (
	"context"

	"github.com/decklever/decklever/internal/raft"
)

// Capacities of the loop's input queues. If a queue is full, a proposal is rejected, a
// message is dropped (raft sends it again), and a call waits.
const (
	proposalQueueLength = 4096
	messageQueueLength  = 256
	callQueueLength     = 64
)

// inboundRequest is a received RaftRequest.
type inboundRequest struct {
	sender   raft.Member
	messages []raft.Message
}

// loopCall is a function to run in the loop's goroutine.
type loopCall struct {
	run  func(*loop) error
	done chan error // capacity 1, so that sending the result never blocks
}

// mailbox holds the input queues of the loop. Other goroutines reach the loop only through
// it.
type mailbox struct {
	messages  chan inboundRequest
	proposals chan *proposal
	calls     chan loopCall
	// stopped is closed once the loop has ended and every proposal that it took
	// has its outcome. Until then, further entries may be applied.
	stopped chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{
		messages:  make(chan inboundRequest, messageQueueLength),
		proposals: make(chan *proposal, proposalQueueLength),
		calls:     make(chan loopCall, callQueueLength),
		stopped:   make(chan struct{}),
	}
}

// runOnLoop runs a function in the loop's goroutine and returns its error. If the loop has
// ended or ctx ends first, it returns ErrStopped or the context's error; the function may
// then have run, or with the context's error may still run.
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

// enqueueMessages queues the raft messages of one request; it drops them if the queue is full.
func (m *mailbox) enqueueMessages(received inboundRequest) {
	select {
	case m.messages <- received:
	default:
	}
}

// enqueueProposal queues a proposal. It returns false if the queue is full.
func (m *mailbox) enqueueProposal(p *proposal) bool {
	select {
	case m.proposals <- p:
		return true
	default:
		return false
	}
}

// notLeaderOrStopped returns the error with which a replica that does not lead rejects a
// call: ErrStopped once the loop has ended, otherwise ErrNotLeader.
func (m *mailbox) notLeaderOrStopped() error {
	select {
	case <-m.stopped:
		return ErrStopped
	default:
		return ErrNotLeader
	}
}
