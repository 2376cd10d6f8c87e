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

// messageTimeout is the timeout of one RaftRequest.
const messageTimeout = time.Second

// peer sends messages to one other replica. It has two queues, each with one goroutine and
// at most one call in flight. One queue sends appends in order; the urgent queue sends all
// other messages, which are small. While appends are queued, a new round of heartbeats is
// also sent through the urgent queue, as an append without a log position. Such an append
// is valid whatever the peer's log contains, so it extends the lease and is never rejected.
//
// The goroutine that owns the transport calls send and stop; the goroutines of the queues
// call deliver.
type peer struct {
	config  Config
	logger  *slog.Logger
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	urgent  sendQueue
	appends sendQueue
	// lastRound and lastTerm identify the newest heartbeat round that was queued. They
	// are owned by the goroutine that owns the transport.
	lastRound, lastTerm uint64
	// unreachable is true if the most recently finished call failed.
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

// start starts the goroutines of the queues. They run until stop is called or the
// transport's context ends.
func (p *peer) start() {
	p.config.Go(func() { p.urgent.run(p) })
	p.config.Go(func() { p.appends.run(p) })
}

func (p *peer) stop() { p.cancel() }

// send queues a message without blocking.
func (p *peer) send(message raft.Message) {
	if message.Kind != raft.MessageAppend {
		p.urgent.push(message)
		return
	}
	newRound := message.Term > p.lastTerm || message.Round > p.lastRound
	if newRound {
		p.lastTerm, p.lastRound = message.Term, message.Round
	}
	if mustWait := p.appends.push(message); mustWait && newRound {
		p.urgent.push(raft.Message{
			Kind:  raft.MessageAppend,
			From:  message.From,
			To:    message.To,
			Term:  message.Term,
			Round: message.Round,
		})
	}
}

// deliver sends messages in one call and reports whether it succeeded. It sets the wall
// clock of append responses. The messages of a failed call are lost; raft sends them again.
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

// recordReachability records whether a call succeeded, and logs when that changes. It
// ignores calls that finish after the peer was stopped.
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
