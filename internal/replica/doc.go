// Package replica drives one raft.Node: it owns the goroutine, the monotonic
// clock, the storage, the transport, the record that entries are applied to,
// snapshots, first formation of a cluster, and the joining and replacing of
// members. It offers proposing, linearizable reads, the leader lease and the
// cluster clock to package scheduler.
package replica
