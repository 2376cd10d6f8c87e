package replica

import (
	"context"
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/replica/transport"
)

// maxInboxBatch is the maximum number of raft requests that one iteration processes. The
// entries of a batch share one sync; the limit keeps heartbeats on time.
const maxInboxBatch = 64

// loop drives the raft node. All its fields are owned by the goroutine of run. Other
// goroutines send input through the mailbox and read the node's state from published.
type loop struct {
	ctx       context.Context
	node      *raft.Node
	record    *record.Machine
	mailbox   *mailbox
	published *published
	clock     *sharedClock
	logger    *slog.Logger

	ticker loopTicker
	// failure, if not nil, ends the loop after the current iteration.
	failure error

	appender   appender
	reads      pendingReads
	saver      saver
	term       leaderTerm
	transport  *transport.Transport
	membership membershipChanger
	snapshots  loopSnapshots
}

// newLoop creates the loop of a replica from the contents of its store. storeWasEmpty
// states that the store was empty when the process started, so that the replica cannot
// have voted yet.
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
		ticker:    loopTicker{interval: config.Timing.Tick, wakeups: r.metrics.tickWakeups},
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

// now returns the monotonic time.
func (l *loop) now() time.Duration { return l.published.monotonic.now() }

// run drives the node until the context ends or a failure occurs. It then withdraws its
// claim to leadership before it completes the waiting proposals and reads, and closes
// mailbox.stopped only once all of them are complete.
func (l *loop) run() error {
	err := l.processEvents()
	l.publish(raft.Status{ID: l.published.id, Membership: l.published.status.Load().Membership})
	l.endTerm()
	l.appender.rejectQueued(ErrStopped)
	close(l.mailbox.stopped)
	l.term.waitForLead()
	return err
}

// processEvents processes events until the context ends or a failure occurs, and returns
// the error of either.
func (l *loop) processEvents() error {
	ticker := time.NewTicker(l.ticker.interval)
	defer ticker.Stop()
	l.node.Tick(l.now())
	if err := l.processReady(); err != nil {
		return err
	}
	for {
		l.ticker.reset(ticker, l.node, l.now())
		if err := l.processEvent(ticker.C); err != nil {
			return err
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
	}
}

// processEvent waits for one event, passes it to the node, and processes the Readys that
// result. It receives no proposals while the pacer delays the next batch.
func (l *loop) processEvent(ticks <-chan time.Time) error {
	proposals, delayElapsed := l.mailbox.proposals, (<-chan time.Time)(nil)
	if delay := l.appender.pacer.delay(l.now()); delay > 0 {
		proposals, delayElapsed = nil, time.After(delay)
	}
	select {
	case <-l.ctx.Done():
		return l.ctx.Err()
	case <-ticks:
		l.ticker.wakeups.Inc()
	case received := <-l.mailbox.messages:
		l.tick()
		l.stepAll(received)
	case <-delayElapsed:
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

// fail makes the loop end with err after the current iteration.
func (l *loop) fail(err error) { l.failure = err }

// tick passes the time to the node, at most once per tick interval. It is called before
// any other input reaches the node, so that after the process was frozen the node first
// learns how much time has passed. On a leader it also updates the cluster
// clock with this machine's wall clock.
func (l *loop) tick() {
	now := l.now()
	if !l.ticker.due(now) {
		return
	}
	l.node.Tick(now)
	if l.term.leading {
		l.clock.observeLocal(now)
	}
}

// stepAll steps the node with a received request and with those queued behind it, at most
// maxInboxBatch in total.
func (l *loop) stepAll(received inboundRequest) {
	for range maxInboxBatch {
		l.step(received)
		select {
		case received = <-l.mailbox.messages:
		default:
			return
		}
	}
}

func (l *loop) step(received inboundRequest) {
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

// discardInput waits for duration, and meanwhile drops messages and rejects proposals. It
// runs no calls, because they may need the node, which is in the middle of a Ready. It
// returns the context's error if that ends first.
func (l *loop) discardInput(duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case <-l.mailbox.messages:
		case p := <-l.mailbox.proposals:
			p.reject(ErrNotLeader)
		case <-timer.C:
			return nil
		}
	}
}
