package replica

import (
	"context"
	"errors"
	"time"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// reader makes reads of the local record linearizable: it obtains a read index and waits
// until that index is applied locally.
type reader struct {
	published *published
	mailbox   *mailbox
	client    *rpc.Client
}

// barrier implements Log.ReadBarrier. A leader that holds the lease waits only until its
// committed entries are applied; without the lease, a round of heartbeats first confirms
// the read index. A follower requests the read index from the leader. barrier fails with
// ErrNotLeader if no leader could be reached, ErrStopped, the context's error, or an
// *rpc.Error.
func (r *reader) barrier(ctx context.Context) error {
	index, err := r.readIndex(ctx)
	if errors.Is(err, ErrNotLeader) {
		index, err = r.leaderReadIndex(ctx)
	}
	if err != nil {
		return err
	}
	return r.published.applied.wait(ctx, r.mailbox.stopped, index)
}

// readIndex returns a read index if this replica leads, otherwise ErrNotLeader or
// ErrStopped.
func (r *reader) readIndex(ctx context.Context) (uint64, error) {
	view := r.published.leadership.Load()
	if !view.leader {
		return 0, r.mailbox.notLeaderOrStopped()
	}
	if !r.published.holdsLease(view.term) {
		return r.confirmedReadIndex(ctx)
	}
	// An entry is acknowledged only after it is applied, and applied is read after the
	// call began, so no acknowledged entry lies above both indexes.
	index := max(r.published.status.Load().Commit, r.published.applied.load())
	// The lease must still be held after the index was read.
	if !r.published.holdsLease(view.term) {
		return r.confirmedReadIndex(ctx)
	}
	return index, nil
}

// confirmedReadIndex returns the node's commit index once a quorum has confirmed
// that this replica still leads.
func (r *reader) confirmedReadIndex(ctx context.Context) (uint64, error) {
	done := make(chan readOutcome, 1)
	err := r.mailbox.runOnLoop(ctx, func(l *loop) error { return l.reads.start(l.node, l.now(), done) })
	if errors.Is(err, raft.ErrNotLeader) {
		return 0, ErrNotLeader
	}
	if err != nil {
		return 0, err
	}
	select {
	case outcome := <-done:
		return outcome.index, outcome.err
	case <-r.mailbox.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// leaderReadIndex requests a read index from the leader. It fails with ErrNotLeader if no
// other replica is known to lead.
func (r *reader) leaderReadIndex(ctx context.Context) (uint64, error) {
	leader, known := r.published.leader()
	if !known || leader.ID == r.published.id {
		return 0, ErrNotLeader
	}
	answer, err := rpc.Call[protocol.Empty, protocol.ReadIndexAnswer](ctx, r.client, leader.Address, protocol.MethodReadIndex, protocol.Empty{})
	return answer.Index, err
}

// serveReadIndex handles a follower's request for a read index. Only the leader answers it.
func (r *reader) serveReadIndex(ctx context.Context, _ protocol.Empty) (protocol.ReadIndexAnswer, error) {
	index, err := r.readIndex(ctx)
	if errors.Is(err, ErrNotLeader) {
		return protocol.ReadIndexAnswer{}, r.published.notLeaderError()
	}
	return protocol.ReadIndexAnswer{Index: index}, err
}

// readOutcome is the read index or the error that completes one read request.
type readOutcome struct {
	index uint64
	err   error
}

// pendingReads holds the read requests that wait for their ReadState. It is owned by the
// loop goroutine.
type pendingReads struct {
	// lastID is the id of the newest request; ids count up from 1.
	lastID uint64
	byID   map[uint64]chan<- readOutcome
}

func newPendingReads() pendingReads {
	return pendingReads{byID: make(map[uint64]chan<- readOutcome)}
}

// start requests a read index from the node. The outcome is sent to done, which must have
// capacity 1.
func (p *pendingReads) start(node *raft.Node, now time.Duration, done chan<- readOutcome) error {
	p.lastID++
	if err := node.ReadIndex(now, p.lastID); err != nil {
		return err
	}
	p.byID[p.lastID] = done
	return nil
}

func (p *pendingReads) complete(states []raft.ReadState) {
	for _, state := range states {
		if done, ok := p.byID[state.Request]; ok {
			delete(p.byID, state.Request)
			done <- readOutcome{index: state.Index}
		}
	}
}

func (p *pendingReads) fail(err error) {
	for id, done := range p.byID {
		done <- readOutcome{err: err}
		delete(p.byID, id)
	}
}
