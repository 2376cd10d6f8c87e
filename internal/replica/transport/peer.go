package transport

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

// peer sends to one other replica. It has two queues, each with a goroutine and at
// most one call in flight: appends keep their order in one, and all other messages,
// which are small, go through the other. While appends are queued, a new round of
// heartbeats goes through the urgent queue as well, as an append without an offset in
// the log. Such a message holds whatever the peer's log is, so it extends the lease and
// is never rejected.
//
// The owner of the transport calls send and stop; the goroutines of the queues call deliver.
type peer struct {
	config  Config
	logger  *slog.Logger
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	urgent  sendQueue
	appends sendQueue
	// lastRound and lastTerm name the newest round of heartbeats that was queued.
	// They belong to the owner of the transport.
	lastRound, lastTerm uint64
	// unreachable is true while the newest call has failed.
	unreachable atomic.Bool
}

func newPeer(ctx context.Context, config Config, member raft.Member) *peer {
	ctx, cancel := context.WithCancel(ctx)
	return &peer{
		config:  config,
		logger:  config.Logger.With("peer", string(member.ID), "peer_name", member.Name, "address", member.Address),
		address: member.Address,
		ctx:     ctx,
		cancel:  cancel,
		urgent:  newSendQueue(),
		appends: newSendQueue(),
	}
}

// start runs the goroutines of the queues, which end with stop.
func (p *peer) start() {
	p.config.Go(func() { p.urgent.run(p) })
	p.config.Go(func() { p.appends.run(p) })
}

func (p *peer) stop() { p.cancel() }

// send queues a message and never blocks.
func (p *peer) send(message raft.Message) {
	if message.Kind != raft.MessageAppend {
		p.urgent.push(message)
		return
	}
	newRound := message.Term > p.lastTerm || message.Round > p.lastRound
	if newRound {
		p.lastTerm, p.lastRound = message.Term, message.Round
	}
	if queued := p.appends.push(message); queued && newRound {
		p.urgent.push(raft.Message{
			Kind:  raft.MessageAppend,
			From:  message.From,
			To:    message.To,
			Term:  message.Term,
			Round: message.Round,
		})
	}
}

// deliver makes one call and reports whether it succeeded. Messages of a failed call
// are lost; raft sends them again.
func (p *peer) deliver(messages []raft.Message) bool {
	for i := range messages {
		if messages[i].Kind == raft.MessageAppendResponse {
			messages[i].WallClock = p.config.WallClock().UnixMilli()
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, messageTimeout)
	defer cancel()
	request := protocol.RaftRequest{Messages: messages, Sender: p.config.Self()}
	_, err := rpc.Call[protocol.RaftRequest, protocol.Empty](ctx, p.config.Client, p.address, protocol.MethodRaft, request)
	p.recordReachability(err)
	return err == nil
}

// recordReachability logs changes only.
func (p *peer) recordReachability(err error) {
	if p.ctx.Err() != nil || p.unreachable.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		p.logger.Warn("replica unreachable", "error", err)
		return
	}
	p.logger.Info("replica reachable again")
}
