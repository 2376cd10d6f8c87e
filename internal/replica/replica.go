package replica

import (
	"context"
	"errors"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Replica drives one raft.Node. It supports a single call of Run, whose goroutine, the
// loop, owns the node; all other methods may be called from any goroutine. New creates the
// components in the fields, which do their own locking where they need it.
type Replica struct {
	config     Config
	self       *localMember
	metrics    *metrics
	published  *published
	clock      *sharedClock
	mailbox    *mailbox
	background *backgroundTasks

	proposals *proposer
	reads     *reader
	archive   *archiveCopier
	snapshots *snapshotReceiver
	identity  *identityServer
	seeds     *seedDirectory
	members   *membershipServer
}

var _ Log = (*Replica)(nil)

// New creates a Replica; Run starts it. It returns an error if a required field of config
// is missing or the metrics cannot be registered.
func New(config Config) (*Replica, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	id := config.Store.ReplicaID()
	config.Logger = config.Logger.With("replica", string(id))
	metrics, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:     config,
		self:       newLocalMember(id, config),
		metrics:    metrics,
		published:  newPublished(id, monotonicClock{startedAt: time.Now()}, metrics),
		clock:      &sharedClock{self: id, wallClock: config.WallClock},
		mailbox:    newMailbox(),
		background: &backgroundTasks{},
	}
	r.assemble()
	return r, nil
}

// assemble creates the components that serve callers and other replicas.
func (r *Replica) assemble() {
	config := r.config
	r.proposals = &proposer{published: r.published, clock: r.clock, mailbox: r.mailbox}
	r.reads = &reader{published: r.published, mailbox: r.mailbox, client: config.Client}
	r.members = &membershipServer{published: r.published, mailbox: r.mailbox}
	r.archive = newArchiveCopier(r.published, config.Store.Archive(), config.Client, config.Logger)
	r.snapshots = &snapshotReceiver{
		published:  r.published,
		mailbox:    r.mailbox,
		background: r.background,
		archive:    r.archive,
		logger:     config.Logger,
	}
	r.identity = &identityServer{
		self:      r.self,
		store:     config.Store,
		published: r.published,
		bootstrap: &bootstrapState{},
	}
	r.seeds = &seedDirectory{client: config.Client, local: r.identity}
	r.seeds.set(config.Seeds)
}

// Run creates or joins a cluster if the store is empty, and then drives the node until
// ctx ends, when it returns nil, or until a fatal failure: a store that cannot be read or
// written, or an entry that cannot be applied. It may be called only once, and returns
// after every goroutine that it started has ended.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.background.wait()
	defer cancel()
	r.background.open(ctx)
	defer r.background.close()
	err := r.run(ctx)
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func (r *Replica) run(ctx context.Context) error {
	storeWasEmpty := r.config.Store.Empty()
	if storeWasEmpty {
		if err := r.newBootstrapper().run(ctx); err != nil {
			r.stopBeforeLoop()
			return err
		}
	}
	l, err := r.newLoop(ctx, storeWasEmpty)
	if err != nil {
		r.stopBeforeLoop()
		return err
	}
	r.published.running.Store(true)
	joiner := r.newJoiner()
	r.background.run(func() { joiner.run(ctx) })
	return l.run()
}

// stopBeforeLoop makes waiting and later calls fail when the loop will never run.
func (r *Replica) stopBeforeLoop() { close(r.mailbox.stopped) }

func (r *Replica) newBootstrapper() *bootstrapper {
	return &bootstrapper{
		self:     r.self.id,
		joinOnly: r.config.JoinOnly,
		store:    r.config.Store,
		record:   r.config.Record,
		seeds:    r.seeds,
		state:    r.identity.bootstrap,
		logger:   r.config.Logger,
	}
}

func (r *Replica) newJoiner() *joiner {
	return &joiner{
		self:      r.self,
		published: r.published,
		seeds:     r.seeds,
		archive:   r.archive,
		members:   r.members,
		client:    r.config.Client,
		logger:    r.config.Logger,
	}
}

// SetSeeds replaces the addresses of Config.Seeds.
func (r *Replica) SetSeeds(seeds []string) { r.seeds.set(seeds) }

// SetZone changes the zone of this replica. The replica then requests from the leader that
// the membership be updated.
func (r *Replica) SetZone(zone string) { r.self.setZone(zone) }

// PrepareShutdown transfers leadership, if this replica leads, and then its voter slot, if
// it has one and there is a learner to take it. It returns once both are done, when no
// other replica can take over, or when ctx ends. Call it while Run is running, before the
// context of Run is canceled.
func (r *Replica) PrepareShutdown(ctx context.Context) {
	preparation := &shutdown{
		published: r.published,
		mailbox:   r.mailbox,
		client:    r.config.Client,
		logger:    r.config.Logger,
	}
	preparation.prepare(ctx)
}

// Propose implements Log. If ctx ends first, the error matches the context's error and
// either ErrOverloaded (the command has no effect) or ErrOutcomeUnknown.
func (r *Replica) Propose(ctx context.Context, token uint64, command record.Command) (record.Result, error) {
	return r.proposals.propose(ctx, token, command)
}

// ReadBarrier implements Log. It fails with ErrNotLeader if no leader could be reached,
// ErrStopped, the context's error, or an *rpc.Error.
func (r *Replica) ReadBarrier(ctx context.Context) error { return r.reads.barrier(ctx) }

// HoldsLease implements Log.
func (r *Replica) HoldsLease(token uint64) bool { return r.published.holdsLease(token) }

// Now implements Log.
func (r *Replica) Now() record.Millis { return r.clock.now(r.published.monotonic.now()) }

// Record implements Log.
func (r *Replica) Record() *record.Machine { return r.config.Record }

// Status implements Log. Before the loop runs, only the ID is set.
func (r *Replica) Status() raft.Status { return *r.published.status.Load() }

// Leader implements Log.
func (r *Replica) Leader() (raft.Member, bool) { return r.published.leader() }
