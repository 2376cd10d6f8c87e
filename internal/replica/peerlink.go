package replica

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// messageTimeout bounds one RaftRequest.
	messageTimeout = time.Second
	// maxRequestBytes bounds the entries of one RaftRequest with more than one
	// message.
	maxRequestBytes = 1 << 20
	// maxLaneBytes and maxLaneMessages bound what waits for a slow peer.
	maxLaneBytes    = 8 << 20
	maxLaneMessages = 1024
	// messageOverhead is counted for each message on top of its entries.
	messageOverhead = 128
)

// peerLink sends to one replica over two lanes, each with a goroutine and one
// call under way. Appends keep their order in one; all else, which is small,
// goes over the other. While appends wait, a new heartbeat round goes over the
// urgent lane as well, bare of any place in the log: it is true whatever the
// peer holds, so it extends the lease without provoking a refusal.
type peerLink struct {
	id      raft.ReplicaID
	address string
	replica *Replica
	logger  *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	urgent  lane
	appends lane
	// lastRound and lastTerm name the newest round that went out.
	lastRound, lastTerm uint64
	unreachable         atomic.Bool
}

func newPeerLink(ctx context.Context, replica *Replica, member raft.Member) *peerLink {
	ctx, cancel := context.WithCancel(ctx)
	return &peerLink{
		id:      member.ID,
		address: member.Address,
		replica: replica,
		logger:  replica.logger.With("peer", string(member.ID), "peer_name", member.Name, "address", member.Address),
		ctx:     ctx,
		cancel:  cancel,
		urgent:  newLane(),
		appends: newLane(),
	}
}

func (p *peerLink) stop() { p.cancel() }

// send queues a message; the loop's goroutine calls it.
func (p *peerLink) send(message raft.Message) {
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
func (p *peerLink) deliver(messages []raft.Message) bool {
	for i := range messages {
		if messages[i].Kind == raft.MessageAppendAnswer {
			messages[i].WallClock = p.replica.config.WallClock().UnixMilli()
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, messageTimeout)
	defer cancel()
	request := fleet.RaftRequest{Messages: messages, Sender: p.replica.member()}
	_, err := rpc.Call[fleet.RaftRequest, fleet.Empty](ctx, p.replica.config.Client, p.address, fleet.MethodRaft, request)
	p.noteReachable(err)
	return err == nil
}

// noteReachable logs changes only.
func (p *peerLink) noteReachable(err error) {
	if p.ctx.Err() != nil || p.unreachable.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		p.logger.Warn("replica cannot be reached", "error", err)
		return
	}
	p.logger.Info("replica can be reached again")
}

// lane is a bounded queue with one sender.
type lane struct {
	mutex sync.Mutex
	queue []raft.Message
	bytes int
	// sending is true while a call is under way.
	sending bool
	wake    chan struct{}
}

func newLane() lane { return lane{wake: make(chan struct{}, 1)} }

// push queues a message, or drops it if the lane is full. It returns true if
// the message has to wait for others.
func (l *lane) push(message raft.Message) (waits bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	waits = l.sending || len(l.queue) > 0
	size := messageSize(message)
	if len(l.queue) >= maxLaneMessages || (len(l.queue) > 0 && l.bytes+size > maxLaneBytes) {
		return true
	}
	l.queue = append(l.queue, message)
	l.bytes += size
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return waits
}

func messageSize(message raft.Message) int {
	size := messageOverhead
	for _, entry := range message.Entries {
		size += len(entry.Data) + messageOverhead/4
	}
	return size
}

// take removes the messages of the next request, at least one if any waits.
func (l *lane) take() []raft.Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count, size := 0, 0
	for count < len(l.queue) {
		size += messageSize(l.queue[count])
		if count > 0 && size > maxRequestBytes {
			size -= messageSize(l.queue[count])
			break
		}
		count++
	}
	taken := append([]raft.Message(nil), l.queue[:count]...)
	l.queue = append(l.queue[:0], l.queue[count:]...)
	l.bytes -= size
	l.sending = count > 0
	return taken
}

// clear drops what waits: after a loss, what follows would be refused.
func (l *lane) clear() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.queue)
	l.queue, l.bytes = l.queue[:0], 0
}

// run sends until the link is stopped.
func (l *lane) run(link *peerLink) {
	for {
		select {
		case <-link.ctx.Done():
			return
		case <-l.wake:
		}
		for batch := l.take(); len(batch) > 0; batch = l.take() {
			if !link.deliver(batch) {
				l.clear()
			}
		}
	}
}
