package transport

import (
	"sync"

	"github.com/decklever/decklever/internal/raft"
)

const (
	// maxRequestBytes is the maximum size, as counted by messageSize, of a RaftRequest
	// with more than one message.
	maxRequestBytes = 1 << 20
	// maxQueuedBytes and maxQueuedMessages limit the queue of a slow peer.
	maxQueuedBytes    = 8 << 20
	maxQueuedMessages = 1024
	// messageOverhead is the number of bytes counted per message in addition to its
	// entries; queuedEntryOverhead is that per entry in addition to its data.
	messageOverhead     = 128
	queuedEntryOverhead = 32
)

// sendQueue is a bounded first-in, first-out queue of messages for one peer. The goroutine
// that owns the transport calls push; one other goroutine, in run, sends the messages.
type sendQueue struct {
	mutex    sync.Mutex // guards messages, bytes and sending
	messages []raft.Message
	// bytes is the total size of messages, as counted by messageSize.
	bytes int
	// sending is true while a call is in flight.
	sending bool
	// wake, of capacity 1, receives a value when a message is pushed.
	wake chan struct{}
}

func newSendQueue() sendQueue { return sendQueue{wake: make(chan struct{}, 1)} }

// push queues a message, or drops it if the queue is full. It returns true if other
// messages are queued or being sent, also when it drops the message.
func (q *sendQueue) push(message raft.Message) (mustWait bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	mustWait = q.sending || len(q.messages) > 0
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
	return mustWait
}

// messageSize returns the approximate size of a message in memory and in a request, in
// bytes.
func messageSize(message raft.Message) int {
	size := messageOverhead
	for _, entry := range message.Entries {
		size += len(entry.Data) + queuedEntryOverhead
	}
	return size
}

// take removes and returns the messages of the next request: at least one if any are
// queued, and more as long as they fit in maxRequestBytes.
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

// clear drops all queued messages. After a lost message, the peer would reject the appends
// that follow it.
func (q *sendQueue) clear() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	clear(q.messages)
	q.messages, q.bytes = q.messages[:0], 0
}

// run sends queued messages until the peer is stopped.
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
