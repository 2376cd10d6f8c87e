package replica

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// messageTimeout bounds one RaftRequest.
const messageTimeout = time.Second

// peer sends to one replica from two queues, each with a goroutine and one
// call under way. Appends keep their order in one; all else, which is small,
// goes through the other. While appends wait, a new heartbeat round goes through
// the urgent queue as well, bare of any place in the log: it is true whatever the
// peer holds, so it extends the lease without provoking a refusal.
type peer struct {
	id      raft.ReplicaID
	address string
	replica *Replica
	logger  *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	urgent  sendQueue
	appends sendQueue
	// lastRound and lastTerm name the newest round that went out.
	lastRound, lastTerm uint64
	unreachable         atomic.Bool
}

func newPeer(ctx context.Context, replica *Replica, member raft.Member) *peer {
	ctx, cancel := context.WithCancel(ctx)
	return &peer{
		id:      member.ID,
		address: member.Address,
		replica: replica,
		logger:  replica.logger.With("peer", string(member.ID), "peer_name", member.Name, "address", member.Address),
		ctx:     ctx,
		cancel:  cancel,
		urgent:  newSendQueue(),
		appends: newSendQueue(),
	}
}

func (p *peer) stop() { p.cancel() }

// send queues a message; the loop's goroutine calls it.
func (p *peer) send(message raft.Message) {
	if message.Kind != raft.MessageAppend {
		p.urgent.push(message)
		return
	}
	newRound := message.Term > p.lastTerm || message.Round > p.lastRound
	if newRound {
		p.lastTerm, p.lastRound = message.Term, message.Round
	}
	if waits := p.appends.push(message); waits && newRound {
		p.urgent.push(raft.Message{
			Kind:  raft.MessageAppend,
			From:  message.From,
			To:    message.To,
			Term:  message.Term,
			Round: message.Round,
		})
	}
}

// deliver makes one call; what fails is lost, raft sends it again.
func (p *peer) deliver(messages []raft.Message) bool {
	for i := range messages {
		if messages[i].Kind == raft.MessageAppendResponse {
			messages[i].WallClock = p.replica.config.WallClock().UnixMilli()
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, messageTimeout)
	defer cancel()
	request := protocol.RaftRequest{Messages: messages, Sender: p.replica.member()}
	_, err := rpc.Call[protocol.RaftRequest, protocol.Empty](ctx, p.replica.config.Client, p.address, protocol.MethodRaft, request)
	p.recordReachability(err)
	return err == nil
}

// recordReachability logs changes only.
func (p *peer) recordReachability(err error) {
	if p.ctx.Err() != nil || p.unreachable.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		p.logger.Warn("replica cannot be reached", "error", err)
		return
	}
	p.logger.Info("replica can be reached again")
}
