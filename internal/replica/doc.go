// Package replica runs one replica of the replicated log: it drives a raft.Node with a
// clock, storage and a transport, applies what is committed to the record, takes and
// transfers snapshots, creates or joins a cluster, and offers proposals, linearizable
// reads, the leader lease and the cluster clock to package scheduler.
//
// It decides nothing about jobs, and nothing about agreement: package raft does that,
// and this package does the input and output that raft requests.
//
// # Goroutines
//
// The loop (loop.go, ready.go) is the goroutine that calls Run. It alone touches the
// node and all that a type's comment says belongs to the loop; none of that has a lock.
// Other goroutines reach it through the mailbox, and see its state in published.
//
// All others are started through backgroundTasks, and Run returns only after them:
//
//	goroutine                 started by                     ends
//	joiner                    Run, once the loop is made     with Run's context
//	two send queues of a peer the loop, in transport         when the peer is stopped, or with Run's context
//	Lead of a term            the loop, in leaderTerm        with its Leadership.Context; the loop also waits for it
//	write of a snapshot       the loop                       when the store is done
//	transfer of a snapshot    the loop                       at its end, or with Run's context
//	install of a snapshot     serveChunk, from an rpc call   at its end, or with Run's context
//
// A goroutine that must change the node afterwards calls mailbox.runOnLoop. The queries
// of the seeds are goroutines too; their caller waits for them.
//
// # Locks
//
//	what                        guarded by              written by     read by
//	published                   atomics, watermarks     the loop       all
//	sharedClock                 its mutex               the loop       callers of Now and Propose
//	bootstrapState              its mutex               bootstrapper   identityServer
//	incomingSnapshot            its mutex               rpc handlers   the install, without the lock while installing is set
//	archiveCopier.position      its semaphore           joiner, install
//	sendQueue                   its mutex               the loop, the queue's goroutine
//	backgroundTasks.ctx         its mutex               Run            rpc handlers
//	proposal.state              compare-and-swap        the caller, the loop
//
// No lock is held while another is taken, except that identityServer calls the store under
// the lock of bootstrapState.
//
// # Order of steps
//
// For each Ready (loop.drainReady, from step 2 on in loop.handleReady):
//
//  1. Publish the status before anything is sent. A leader that relinquishes its lease
//     must stop claiming it before a message of this Ready lets another lead.
//  2. Send the early messages: appends of a leader, which counts itself only once its
//     entries are saved, so that its followers may write at the same time.
//  3. Save hard state and entries, with a sync if Ready says so. A save is not skipped or
//     reordered: a vote or an acknowledgement that a crash undoes breaks agreement.
//  4. Send the other messages.
//  5. Apply what is committed, then advance published.applied, then answer the proposer:
//     who has the answer can read the effect.
//  6. Give reads their index; the reader waits until that is applied.
//  7. Advance the node.
//
// Elsewhere:
//
//   - published stores the status before the lease, so that who sees a lease also sees
//     the commit index that the term began with; a read under the lease relies on it.
//   - Lead starts only once the record reflects all earlier terms, the lease is held,
//     and the Lead of the earlier term has returned; the cluster clock restarts from
//     the record's time just before.
//   - A snapshot is installed after the archive up to it was copied and synced, since it
//     leaves ended jobs out. The record is replaced before the store; a failure between
//     the two ends the loop.
//   - A new cluster's first snapshot is saved before identityServer says that the replica
//     is not empty; see bootstrapper.run.
//   - At the end, the loop gives up leadership, then fails pending proposals and reads,
//     then closes mailbox.stopped, and only then waits for Lead: callers that Lead waits
//     for have their answers.
//
// # Files
//
//	replica.go, config.go, restore.go      construction, Run, what the store held
//	log.go, errors.go                      what package scheduler sees
//	loop.go, loopticker.go, ready.go       the loop
//	apply.go                               what a committed entry does to the record
//	mailbox.go                             the way into it
//	published.go, watermark.go             the way out of it
//	propose.go, appender.go, batchpacer.go proposals: callers' side, loop's side, batches
//	read.go                                linearizable reads
//	leadership.go, sharedclock.go          Lead of a term, cluster clock
//	shutdown.go                            leadership transfer, retirement of a voter
//	saver.go, slowdisk.go                  persistence, full and slow disks
//	snapshots.go, snapshotwriter.go, snapshotsender.go, snapshotreceiver.go
//	                                       snapshots: the loop's side, writing, sending, receiving
//	archive.go                             copies of the archive of ended jobs
//	seeds.go, identity.go                  queries of the seeds, and their answer
//	bootstrap.go, bootstrapdecision.go     creation of a cluster
//	joining.go                             joining, standing by, joining again
//	membershipserver.go                    changes of the membership by the leader
//	handlers.go, background.go, metrics.go, member.go
//
// Package transport sends messages to the other replicas. Package reconfig decides which
// membership changes to make, and bootstrapdecision.go what an empty replica does; both
// are pure functions.
package replica
