package transport

import (
	"sync"

	"github.com/decklever/decklever/internal/raft"
)

const (
	// maxRequestBytes bounds the entries of one RaftRequest with more than one
	// message.
	maxRequestBytes = 1 << 20
	// maxQueuedBytes and maxQueuedMessages bound what is queued for a slow peer.
	maxQueuedBytes    = 8 << 20
	maxQueuedMessages = 1024
	// messageOverhead is counted in bytes for each message on top of its
	// entries, queuedEntryOverhead for each entry on top of its data.
	messageOverhead     = 128
	queuedEntryOverhead = 32
)

// sendQueue holds the messages that are queued for one peer, in order, within bounds.
// The owner of the transport pushes, and one goroutine, run, sends them.
type sendQueue struct {
	mutex    sync.Mutex // guards messages, bytes and sending
	messages []raft.Message
	// bytes is the size of messages, as messageSize counts it.
	bytes int
	// sending is true while a call is in flight.
	sending bool
	// wake, of capacity 1, is filled when messages were pushed.
	wake chan struct{}
}

func newSendQueue() sendQueue { return sendQueue{wake: make(chan struct{}, 1)} }

// push queues a message, or drops it if the queue is full. It returns true if
// others are queued or sent before it.
func (q *sendQueue) push(message raft.Message) (behindOthers bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	behindOthers = q.sending || len(q.messages) > 0
	size := messageSize(message)
	if len(q.messages) >= maxQueuedMessages || (len(q.messages) > 0 && q.bytes+size > maxQueuedBytes) {
		return true
	}
	q.messages = append(q.messages, message)
	q.bytes += size
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return behindOthers
}

// messageSize is about how many bytes a message takes in memory and in a request.
func messageSize(message raft.Message) int {
	size := messageOverhead
	for _, entry := range message.Entries {
		size += len(entry.Data) + queuedEntryOverhead
	}
	return size
}

// take removes the messages of the next request, at least one if any are queued.
func (q *sendQueue) take() []raft.Message {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count, size := 0, 0
	for count < len(q.messages) {
		size += messageSize(q.messages[count])
		if count > 0 && size > maxRequestBytes {
			size -= messageSize(q.messages[count])
			break
		}
		count++
	}
	taken := append([]raft.Message(nil), q.messages[:count]...)
	q.messages = append(q.messages[:0], q.messages[count:]...)
	q.bytes -= size
	q.sending = count > 0
	return taken
}

// clear drops what is queued: after a loss, the peer would reject what follows.
func (q *sendQueue) clear() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	clear(q.messages)
	q.messages, q.bytes = q.messages[:0], 0
}

// run sends until the peer is stopped.
func (q *sendQueue) run(receiver *peer) {
	for {
		select {
		case <-receiver.ctx.Done():
			return
		case <-q.wake:
		}
		for batch := q.take(); len(batch) > 0; batch = q.take() {
			if !receiver.deliver(batch) {
				q.clear()
			}
		}
	}
}
