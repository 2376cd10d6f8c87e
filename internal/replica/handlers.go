package replica

import (
	"context"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// Register registers the handlers of calls between replicas. It may be called before Run.
func (r *Replica) Register(server *rpc.Server) {
	rpc.Handle(server, protocol.MethodRaft, r.serveRaft)
	rpc.Handle(server, protocol.MethodSnapshotChunk, r.snapshots.serveChunk)
	rpc.Handle(server, protocol.MethodArchivePage, r.archive.servePage)
	rpc.Handle(server, protocol.MethodIdentity, r.identity.serveIdentity)
	rpc.Handle(server, protocol.MethodJoin, r.members.serveJoin)
	rpc.Handle(server, protocol.MethodRetire, r.members.serveRetire)
	rpc.Handle(server, protocol.MethodReadIndex, r.reads.serveReadIndex)
}

// serveRaft queues raft messages for the loop. It rejects all messages of a request if
// one is addressed to another replica id, and drops them if the queue is full.
func (r *Replica) serveRaft(_ context.Context, request protocol.RaftRequest) (protocol.Empty, error) {
	if !r.published.running.Load() {
		return protocol.Empty{}, errNotRunning
	}
	for _, message := range request.Messages {
		if err := r.published.checkReceiver(message.To); err != nil {
			return protocol.Empty{}, err
		}
	}
	r.mailbox.enqueueMessages(inboundRequest{sender: request.Sender, messages: request.Messages})
	return protocol.Empty{}, nil
}
