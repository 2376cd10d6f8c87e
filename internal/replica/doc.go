// Package replica drives one raft.Node: it owns the goroutine, the monotonic
// clock, the storage, the transport, the record that entries are applied to,
// snapshots, first formation of a cluster, and the joining and replacing of
// members. It offers proposing, linearizable reads, the leader lease and the
// cluster clock to package scheduler.
//
// One goroutine, the loop, owns the node. Each of its turns takes ticks,
// messages, proposals (many at once, which share one sync) or calls from
// others, and then does what Ready says: save, send, apply, answer. What the
// other goroutines may know is published before messages go out, so that a
// leader that gave up its lease has stopped claiming it before anyone else can
// lead.
//
//	loop.go, apply.go       the loop and what it applies
//	propose.go, read.go     proposals and linearizable reads
//	lease.go, leadership.go lease, cluster clock, the Lead callback
//	transport.go, peerlink.go, handlers.go  messages out and in
//	snapshot.go, sendsnapshot.go, receivesnapshot.go, archive.go
//	formation.go, join.go   first formation, joining, standing by, replacing,
//	                        retiring; the decisions
//	                        are pure, in formationdecision.go and joinstep.go
package replica
