package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// maxInboxBatch bounds the messages taken in one turn of the loop, so that their
// entries share one sync and heartbeats still go out in time.
const maxInboxBatch = 64

// inbound is one RaftRequest.
type inbound struct {
	sender   raft.Member
	messages []raft.Message
}

// loopCall runs in the loop's goroutine.
type loopCall struct {
	run  func(*loop) error
	done chan error // of capacity 1
}

// loop is what belongs to the one goroutine that drives the node.
type loop struct {
	*Replica
	ctx       context.Context
	node      *raft.Node
	transport *transport
	lastTick  time.Duration
	// ticksAsLeader: the ticker of turns runs at the pace of a leader.
	ticksAsLeader bool
	// failure ends the loop after the present turn.
	failure error
	// lastPostponedLog is when a newcomer was last told of in the log to wait.
	lastPostponedLog time.Duration

	pending pendingProposals
	pacer   batchPacer
	reads   pendingReads
	// lastReadID numbers the reads.
	lastReadID uint64
	term       leaderTerm
	snapshots  snapshotState
	disk       slowDisk
	// snapshotTransfers are the replicas that a snapshot is being sent to.
	snapshotTransfers map[raft.ReplicaID]bool
}

func (r *Replica) newLoop(ctx context.Context, storeWasEmpty bool) (*loop, error) {
	restored, err := r.restore()
	if err != nil {
		return nil, err
	}
	timing := r.config.Timing
	quietUntil := r.now() + timing.ElectionTimeoutMin
	if storeWasEmpty {
		quietUntil = 0
	}
	node, err := raft.New(raft.Config{
		ID:                 r.self.ID,
		TickInterval:       timing.Tick,
		ElectionTimeoutMin: timing.ElectionTimeoutMin,
		ElectionTimeoutMax: timing.ElectionTimeoutMax,
		LeaseDuration:      timing.Lease,
		Seed:               r.startedAt.UnixNano(),
		NoVoteBefore:       quietUntil,
	}, restored.raft)
	if err != nil {
		return nil, fmt.Errorf("start node: %w", err)
	}
	return &loop{
		Replica:           r,
		ctx:               ctx,
		node:              node,
		transport:         newTransport(ctx, r),
		pending:           make(pendingProposals),
		pacer:             batchPacer{maxDelay: timing.Tick / 2},
		reads:             make(pendingReads),
		snapshots:         newSnapshotState(restored.snapshot),
		snapshotTransfers: make(map[raft.ReplicaID]bool),
	}, nil
}

// run drives the node until the context ends or a failure.
func (l *loop) run() error {
	err := l.processEvents()
	l.publish(raft.Status{ID: l.self.ID, Membership: l.status.Load().Membership})
	l.endTerm()
	l.failPending()
	close(l.stopped)
	l.waitForLead()
	return err
}

func (l *loop) processEvents() error {
	ticker := time.NewTicker(l.config.Timing.Tick)
	defer ticker.Stop()
	l.node.Tick(l.now())
	if err := l.processReady(); err != nil {
		return err
	}
	for {
		l.resetTicker(ticker)
		if err := l.processEvent(ticker.C); err != nil {
			return err
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
	}
}

// resetTicker lets the next tick come when the node needs it: as often as
// configured while it leads, else when its election timeout is over.
func (l *loop) resetTicker(ticker *time.Ticker) {
	deadline, waits := l.node.ElectionDeadline()
	if !waits {
		if !l.ticksAsLeader {
			ticker.Reset(l.config.Timing.Tick)
		}
		l.ticksAsLeader = true
		return
	}
	l.ticksAsLeader = false
	due := max(deadline, l.lastTick+l.config.Timing.Tick)
	ticker.Reset(max(due-l.now(), 1))
}

// turn waits for one thing to do, does it, and handles what follows from it.
func (l *loop) processEvent(ticks <-chan time.Time) error {
	proposals, paused := l.proposals, (<-chan time.Time)(nil)
	if pause := l.pacer.delay(l.now()); pause > 0 {
		proposals, paused = nil, time.After(pause)
	}
	select {
	case <-l.ctx.Done():
		return l.ctx.Err()
	case <-ticks:
		l.metrics.tickWakeups.Inc()
	case received := <-l.inbox:
		l.tick()
		l.stepAll(received)
	case <-paused:
		return nil
	case first := <-proposals:
		l.tick()
		l.propose(first)
	case call := <-l.calls:
		l.tick()
		call.done <- call.run(l)
	}
	if l.failure != nil {
		return l.failure
	}
	l.tick()
	return l.processReady()
}

// fail ends the loop after the present turn.
func (l *loop) fail(err error) { l.failure = err }

// tick lets the node see the time before anything else does, also after the
// process was frozen.
func (l *loop) tick() {
	now := l.now()
	if now-l.lastTick < l.config.Timing.Tick {
		return
	}
	l.lastTick = now
	l.node.Tick(now)
	if l.term.leading {
		l.observeClock(l.self.ID, l.config.WallClock().UnixMilli(), now)
	}
}

func (l *loop) stepAll(received inbound) {
	for range maxInboxBatch {
		l.step(received)
		select {
		case received = <-l.inbox:
		default:
			return
		}
	}
}

func (l *loop) step(received inbound) {
	l.transport.observeSender(received.sender)
	for _, message := range received.messages {
		now := l.now()
		if err := l.node.Step(now, message); err != nil {
			l.logger.Warn("raft message refused", "from", string(message.From), "error", err)
			continue
		}
		if message.Kind == raft.MessageAppendResponse && message.WallClock != 0 && l.term.leading {
			l.observeClock(message.From, message.WallClock, now)
		}
	}
}

// processReady persists, sends and applies until nothing is left to do. What
// others must not believe any longer is published before a message goes out. When
// the replica stops it leaves the rest, as a crash would: each save may take long.
func (l *loop) processReady() error {
	if err := l.drainReady(); err != nil {
		return err
	}
	if l.transferLeadershipOnSlowDisk() {
		if err := l.drainReady(); err != nil {
			return err
		}
	}
	l.startLeadIfReady()
	l.maybeSnapshot()
	return nil
}

func (l *loop) drainReady() error {
	l.publish(l.node.Status())
	for l.node.HasReady() {
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
		if err := l.handleReady(l.node.Ready()); err != nil {
			return err
		}
		l.publish(l.node.Status())
	}
	return nil
}

func (l *loop) handleReady(ready raft.Ready) error {
	l.send(ready.EarlyMessages)
	if ready.HardState != nil || len(ready.Entries) > 0 {
		if err := l.save(ready); err != nil {
			return err
		}
	}
	l.send(ready.Messages)
	if err := l.apply(ready.Committed); err != nil {
		return err
	}
	l.reads.complete(ready.ReadStates)
	l.node.Advance(ready)
	return nil
}

func (l *loop) send(messages []raft.Message) {
	for _, message := range messages {
		if message.Kind == raft.MessageSnapshot {
			l.startSnapshotTransfer(message.To)
		}
		l.transport.send(message)
	}
}

// runOnLoop runs a function in the loop's goroutine and returns its error.
func (r *Replica) runOnLoop(ctx context.Context, run func(*loop) error) error {
	call := loopCall{run: run, done: make(chan error, 1)}
	select {
	case r.calls <- call:
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-call.done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
