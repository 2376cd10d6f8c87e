package replica

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica/transport"
)

// maxInboxBatch bounds the requests with messages that are taken in one iteration, so
// that their entries share one sync and heartbeats still go out in time.
const maxInboxBatch = 64

// loop drives the raft node. All its fields belong to the one goroutine of run;
// others reach it through the mailbox, and see what it does in published.
type loop struct {
	ctx       context.Context
	node      *raft.Node
	record    *record.Machine
	mailbox   *mailbox
	published *published
	clock     *sharedClock
	logger    *slog.Logger

	ticks loopTicker
	// failure ends the loop after the current iteration.
	failure error

	appender   appender
	reads      pendingReads
	saver      saver
	term       leaderTerm
	transport  *transport.Transport
	membership membershipChanger
	snapshots  loopSnapshots
}

// newLoop makes the loop of a replica from what its store holds. storeWasEmpty says
// that it was empty when the process started, so that the replica cannot have voted.
func (r *Replica) newLoop(ctx context.Context, storeWasEmpty bool) (*loop, error) {
	restored, err := r.restore()
	if err != nil {
		return nil, err
	}
	node, err := r.newNode(restored, storeWasEmpty)
	if err != nil {
		return nil, err
	}
	config := r.config
	l := &loop{
		ctx:       ctx,
		node:      node,
		record:    config.Record,
		mailbox:   r.mailbox,
		published: r.published,
		clock:     r.clock,
		logger:    config.Logger,
		ticks:     loopTicker{interval: config.Timing.Tick, wakeups: r.metrics.tickWakeups},
		reads:     newPendingReads(),
		term:      leaderTerm{lead: config.Lead, background: r.background, logger: config.Logger},
		transport: transport.New(ctx, r.transportConfig()),
		membership: membershipChanger{
			node:               node,
			maxVoters:          config.MaxVoters,
			electionTimeoutMax: config.Timing.ElectionTimeoutMax,
			logger:             config.Logger,
		},
		snapshots: r.newLoopSnapshots(restored.Snapshot),
	}
	l.appender = r.newAppender(node)
	l.saver = saver{
		store:    config.Store,
		metrics:  r.metrics,
		logger:   config.Logger,
		sleep:    l.discardInput,
		pacer:    &l.appender.pacer,
		slowDisk: slowDisk{leaseDuration: config.Timing.Lease, logger: config.Logger},
	}
	return l, nil
}

func (r *Replica) newAppender(node *raft.Node) appender {
	return appender{
		node:      node,
		monotonic: r.published.monotonic,
		queue:     r.mailbox.proposals,
		pacer:     batchPacer{maxDelay: r.config.Timing.Tick / 2},
		pending:   make(pendingProposals),
		appended:  r.metrics.proposals,
	}
}

func (r *Replica) transportConfig() transport.Config {
	return transport.Config{
		ID:        r.self.id,
		Self:      r.self.member,
		Client:    r.config.Client,
		WallClock: r.config.WallClock,
		Logger:    r.config.Logger,
		Go:        r.background.run,
	}
}

// now is the monotonic time.
func (l *loop) now() time.Duration { return l.published.monotonic.now() }

// run drives the node until the context ends or a failure. At the end it stops
// claiming leadership before it answers those who wait, and closes stopped only once
// all of them have their answer.
func (l *loop) run() error {
	err := l.processEvents()
	l.publish(raft.Status{ID: l.published.id, Membership: l.published.status.Load().Membership})
	l.endTerm()
	l.appender.rejectQueued(ErrStopped)
	close(l.mailbox.stopped)
	l.term.waitForLead()
	return err
}

func (l *loop) processEvents() error {
	ticker := time.NewTicker(l.ticks.interval)
	defer ticker.Stop()
	l.node.Tick(l.now())
	if err := l.processReady(); err != nil {
		return err
	}
	for {
		l.ticks.reset(ticker, l.node, l.now())
		if err := l.processEvent(ticker.C); err != nil {
			return err
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
	}
}

// processEvent waits for one event, hands it to the node, and does all that follows
// from it.
func (l *loop) processEvent(ticks <-chan time.Time) error {
	proposals, paused := l.mailbox.proposals, (<-chan time.Time)(nil)
	if delay := l.appender.pacer.delay(l.now()); delay > 0 {
		proposals, paused = nil, time.After(delay)
	}
	select {
	case <-l.ctx.Done():
		return l.ctx.Err()
	case <-ticks:
		l.ticks.wakeups.Inc()
	case received := <-l.mailbox.messages:
		l.tick()
		l.stepAll(received)
	case <-paused:
		return nil
	case first := <-proposals:
		l.tick()
		l.appender.appendBatch(first)
	case call := <-l.mailbox.calls:
		l.tick()
		call.done <- call.run(l)
	}
	if l.failure != nil {
		return l.failure
	}
	l.tick()
	return l.processReady()
}

// fail ends the loop after the current iteration.
func (l *loop) fail(err error) { l.failure = err }

// tick lets the node see the time before anything else does, also after the process
// was frozen.
func (l *loop) tick() {
	now := l.now()
	if !l.ticks.due(now) {
		return
	}
	l.node.Tick(now)
	if l.term.leading {
		l.clock.observeOwn(now)
	}
}

func (l *loop) stepAll(received inbound) {
	for range maxInboxBatch {
		l.step(received)
		select {
		case received = <-l.mailbox.messages:
		default:
			return
		}
	}
}

func (l *loop) step(received inbound) {
	l.transport.ObserveSender(received.sender)
	for _, message := range received.messages {
		now := l.now()
		if err := l.node.Step(now, message); err != nil {
			l.logger.Warn("raft message rejected", "from", string(message.From), "error", err)
			continue
		}
		if message.Kind == raft.MessageAppendResponse && message.WallClock != 0 && l.term.leading {
			l.clock.observe(message.From, message.WallClock, now)
		}
	}
}

// discardInput lets time pass in which messages are lost and proposals rejected. Calls
// wait: they may need the node, which is in the middle of a Ready.
func (l *loop) discardInput(length time.Duration) error {
	end := time.NewTimer(length)
	defer end.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case <-l.mailbox.messages:
		case p := <-l.mailbox.proposals:
			p.reject(ErrNotLeader)
		case <-end.C:
			return nil
		}
	}
}
