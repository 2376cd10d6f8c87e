package replica

import (
	"context"
	"errors"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// ReadBarrier implements Log. A leader under its lease waits only for what is
// committed; without it a heartbeat round confirms the read point, and a
// follower asks the leader for one. Failed: ErrNotLeader if no leader could be
// asked, ErrStopped, the context's error, or an *rpc.Error.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	index, err := r.readIndex(ctx)
	if errors.Is(err, ErrNotLeader) {
		index, err = r.leaderReadIndex(ctx)
	}
	if err != nil {
		return err
	}
	return r.applied.wait(ctx, r.stopped, index)
}

// readIndex gives a read point if this replica leads, else ErrNotLeader.
func (r *Replica) readIndex(ctx context.Context) (uint64, error) {
	view := r.leadership.Load()
	if !view.leader {
		return 0, r.rejection()
	}
	if !r.HoldsLease(view.term) {
		return r.confirmedReadIndex(ctx)
	}
	// Proposers hear of a commit only after it is applied, and applied is read
	// after the call began: nothing acknowledged lies beyond the two.
	index := max(r.status.Load().Commit, r.applied.load())
	if !r.HoldsLease(view.term) {
		return r.confirmedReadIndex(ctx)
	}
	return index, nil
}

func (r *Replica) confirmedReadIndex(ctx context.Context) (uint64, error) {
	read := make(chan readOutcome, 1)
	err := r.runOnLoop(ctx, func(l *loop) error { return l.startRead(read) })
	if errors.Is(err, raft.ErrNotLeader) {
		return 0, ErrNotLeader
	}
	if err != nil {
		return 0, err
	}
	select {
	case outcome := <-read:
		return outcome.index, outcome.err
	case <-r.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (r *Replica) leaderReadIndex(ctx context.Context) (uint64, error) {
	leader, known := r.Leader()
	if !known || leader.ID == r.self.ID {
		return 0, ErrNotLeader
	}
	answer, err := rpc.Call[protocol.Empty, protocol.ReadIndexAnswer](ctx, r.config.Client, leader.Address, protocol.MethodReadIndex, protocol.Empty{})
	return answer.Index, err
}

// readOutcome answers one read request.
type readOutcome struct {
	index uint64
	err   error
}

// pendingReads wait for their ReadState, by request number.
type pendingReads map[uint64]chan<- readOutcome

func (l *loop) startRead(read chan<- readOutcome) error {
	l.lastReadID++
	if err := l.node.ReadIndex(l.now(), l.lastReadID); err != nil {
		return err
	}
	l.reads[l.lastReadID] = read
	return nil
}

func (p pendingReads) complete(states []raft.ReadState) {
	for _, state := range states {
		if read, ok := p[state.Request]; ok {
			delete(p, state.Request)
			read <- readOutcome{index: state.Index}
		}
	}
}

func (p pendingReads) fail(err error) {
	for request, read := range p {
		read <- readOutcome{err: err}
		delete(p, request)
	}
}
