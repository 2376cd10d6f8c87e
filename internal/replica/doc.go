// Package replica runs one replica of the replicated log: it drives a raft.Node with a
// clock, storage and a transport, applies committed entries to the record, takes and
// transfers snapshots, creates or joins a cluster, and offers proposals, linearizable
// reads, the leader lease and the cluster clock to package scheduler.
//
// It makes no scheduling decisions and implements no consensus protocol: package raft
// implements the protocol, and this package does the input and output that raft requests.
//
// # Goroutines
//
// The loop (loop.go, ready.go) is the goroutine that calls Run. Only the loop accesses the
// node and the data that a type's comment says belong to the loop; no lock guards them.
// Other goroutines send requests to the loop through mailbox, and read its state from
// published.
//
// All other goroutines are started through backgroundTasks, and Run returns only after
// they have ended:
//
//	goroutine                 started by                     ends
//	joiner                    Run, once the loop is created  with Run's context
//	two send queues of a peer the loop, in transport         when the peer is stopped, or with Run's context
//	Lead of a term            the loop, in leaderTerm        with its Leadership.Context; the loop also waits for it
//	write of a snapshot       the loop                       when the store has saved it
//	transfer of a snapshot    the loop                       when it is complete, or with Run's context
//	install of a snapshot     serveChunk, from an rpc call   when it is complete, or with Run's context
//
// A goroutine that must change the node afterwards calls mailbox.runOnLoop. Each query of
// a seed also runs in a goroutine; the caller waits for these goroutines.
//
// # Locks
//
//	what                        guarded by              written by     read by
//	published                   atomics, watermarks     the loop       all goroutines
//	sharedClock                 its mutex               the loop       callers of Now and Propose
//	bootstrapState              its mutex               Run            identityServer
//	incomingSnapshot            its mutex               rpc handlers   the install, without the lock while installing is set
//	archiveCopier.position      its semaphore           joiner, install
//	sendQueue                   its mutex               the loop, the queue's goroutine
//	backgroundTasks.ctx         its mutex               Run            rpc handlers
//	proposal.state              compare-and-swap        the caller, the loop
//
// No lock is held while another one is acquired, except that identityServer calls the store
// while it holds the lock of bootstrapState.
//
// # Order of steps
//
// For each Ready (loop.drainReady, from step 2 on in loop.handleReady):
//
//  1. Publish the status before anything is sent. A leader that relinquishes its lease
//     must stop claiming it before a message of this Ready enables another leader.
//  2. Send the early messages, which are appends of a leader. Followers can then write in
//     parallel with the leader, which counts itself towards the quorum only once its own
//     entries are saved.
//  3. Save the hard state and entries, with a sync if Ready requires it. A save is never
//     skipped or reordered: a vote or an acknowledgement that is lost in a crash breaks
//     agreement.
//  4. Send the other messages.
//  5. Apply the committed entries, then advance published.applied, then answer the
//     proposer: a caller that has the answer can read the effect.
//  6. Give pending reads their read index; the reader waits until it is applied.
//  7. Advance the node.
//
// Other operations:
//
//   - published stores the status before the lease, so that a goroutine that sees a lease
//     also sees the commit index that the term began with; reads under the lease rely on
//     it.
//   - Lead starts only once the record reflects all earlier terms, the lease is held, and
//     the Lead of the earlier term has returned. Just before, the cluster clock restarts
//     from the time of the record.
//   - A snapshot is installed after the archive up to it was copied and synced, since a
//     snapshot does not contain ended jobs. The record is replaced before the store; a
//     failure between the two ends the loop.
//   - The first snapshot of a new cluster is saved before identityServer reports that the
//     replica is not empty; see bootstrapper.run.
//   - When the loop ends, it gives up leadership, then fails pending proposals and reads,
//     then closes mailbox.stopped, and only then waits for Lead. Calls that Lead waits for
//     have therefore been answered.
//
// # Files
//
//	replica.go, config.go, restore.go      construction, Run, restoring from the store
//	log.go, errors.go                      the interface for package scheduler
//	loop.go, loopticker.go, ready.go       the loop
//	apply.go                               applying committed entries to the record
//	mailbox.go                             requests of other goroutines to the loop
//	published.go, watermark.go             state of the loop for other goroutines
//	propose.go, appender.go, batchpacer.go proposals: callers' side, loop's side, batches
//	read.go                                linearizable reads
//	leadership.go, sharedclock.go          Lead of a term, cluster clock
//	shutdown.go                            leadership transfer, retirement of a voter
//	saver.go, slowdisk.go                  persistence, full and slow disks
//	snapshots.go, snapshotwriter.go, snapshotsender.go, snapshotreceiver.go
//	                                       snapshots: the loop's side, writing, sending, receiving
//	archive.go                             copying the archive of ended jobs
//	seeds.go, identity.go                  queries to the seeds, and answers to them
//	bootstrap.go, bootstrapdecision.go     creation of a cluster
//	joining.go                             joining, standing by, joining again
//	membershipserver.go                    membership changes by the leader
//	handlers.go, background.go, metrics.go, member.go
//
// Package transport sends messages to the other replicas. Package reconfig decides which
// membership changes to make, and bootstrapdecision.go decides what an empty replica does;
// both consist of pure functions.
package replica
