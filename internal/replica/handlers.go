package replica

import (
	"context"
	"errors"
	"fmt"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// maxArchivePage bounds the jobs of one ArchivePageAnswer.
const maxArchivePage = 256

// Register serves the calls between replicas. It may be called before Run.
func (r *Replica) Register(server *rpc.Server) {
	rpc.Handle(server, protocol.MethodRaft, r.serveRaft)
	rpc.Handle(server, protocol.MethodSnapshotChunk, r.serveSnapshotChunk)
	rpc.Handle(server, protocol.MethodArchivePage, r.serveArchivePage)
	rpc.Handle(server, protocol.MethodIdentity, r.serveIdentity)
	rpc.Handle(server, protocol.MethodJoin, r.serveJoin)
	rpc.Handle(server, protocol.MethodRetire, r.serveRetire)
	rpc.Handle(server, protocol.MethodReadIndex, r.serveReadIndex)
}

var errNotRunning = &rpc.Error{Code: rpc.CodeUnavailable, Message: "replica has not joined a cluster yet"}

// serveRaft takes messages into the loop's queue, and drops them when it is
// full.
func (r *Replica) serveRaft(_ context.Context, request protocol.RaftRequest) (protocol.Empty, error) {
	if !r.running.Load() {
		return protocol.Empty{}, errNotRunning
	}
	for _, message := range request.Messages {
		if err := r.checkReceiver(message.To); err != nil {
			return protocol.Empty{}, err
		}
	}
	select {
	case r.inbox <- inbound{sender: request.Sender, messages: request.Messages}:
	default:
	}
	return protocol.Empty{}, nil
}

// checkReceiver refuses what is meant for a replica that was here before.
func (r *Replica) checkReceiver(id raft.ReplicaID) error {
	if id == r.self.ID {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeBadRequest, Message: fmt.Sprintf("this is replica %s, not %s", r.self.ID, id)}
}

func (r *Replica) serveArchivePage(_ context.Context, request protocol.ArchivePageRequest) (protocol.ArchivePageAnswer, error) {
	limit := request.Limit
	if limit <= 0 || limit > maxArchivePage {
		limit = maxArchivePage
	}
	jobs, err := r.config.Store.Archive().Page(request.AfterIndex, request.AfterID, limit)
	if err != nil {
		return protocol.ArchivePageAnswer{}, fmt.Errorf("read archive: %w", err)
	}
	return protocol.ArchivePageAnswer{Jobs: jobs}, nil
}

// serveReadIndex gives a follower a read point; leader only.
func (r *Replica) serveReadIndex(ctx context.Context, _ protocol.Empty) (protocol.ReadIndexAnswer, error) {
	index, err := r.readIndex(ctx)
	if errors.Is(err, ErrNotLeader) {
		return protocol.ReadIndexAnswer{}, r.notLeader()
	}
	return protocol.ReadIndexAnswer{Index: index}, err
}

func (r *Replica) notLeader() *rpc.Error {
	refusal := &rpc.Error{Code: rpc.CodeNotLeader, Message: "this replica does not lead"}
	if leader, known := r.Leader(); known && leader.ID != r.self.ID {
		refusal.LeaderAddress = leader.Address
	}
	return refusal
}
