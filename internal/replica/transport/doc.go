// Package transport sends the messages of a raft node to the other replicas. It keeps one
// peer per replica, with bounded queues and one goroutine per queue. It never blocks its
// caller and never retries: a message that does not fit in the queue or fails to send is
// lost, and raft sends it again.
//
// Appends to a peer are sent in order. All other messages use a second queue, so that a
// slow transfer of entries does not delay heartbeats. The package does not receive
// messages, and does not interpret them beyond this distinction.
package transport
