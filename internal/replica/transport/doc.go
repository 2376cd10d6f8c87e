// Package transport sends the messages of a raft node to the other replicas: one peer for
// each, with bounded queues and a goroutine for each queue. It never blocks its owner and
// never retries: what does not fit or fails is lost, and raft sends it again.
//
// It owns the peers and their order of messages: appends in order, everything else beside
// them, so that a slow transfer of entries delays no heartbeat. It does not receive, and
// knows nothing of what the messages mean beyond that.
package transport
