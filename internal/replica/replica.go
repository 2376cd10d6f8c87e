package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/decklever/decklever/internal/clusterclock"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// Bounds of the queues into the loop; what does not fit is refused (proposals)
// or dropped (messages, which raft sends again).
const (
	proposalQueue = 4096
	inboxQueue    = 256
	callQueue     = 64
)

// Replica drives one raft.Node. Run owns the node in one goroutine; all other
// methods may be called from any goroutine.
type Replica struct {
	config Config
	// self is this replica as it started; member has the present zone.
	self    raft.Member
	zone    atomic.Pointer[string]
	logger  *slog.Logger
	metrics *metrics
	// startedAt is the origin of the monotonic times passed to the node.
	startedAt time.Time

	inbox     chan inbound
	proposals chan *proposal
	calls     chan loopCall
	// stopped is closed once the loop has ended and every proposal that it
	// took has its outcome. Only then is it true that nothing more is applied.
	stopped chan struct{}
	// background are the goroutines that Run starts and waits for.
	background sync.WaitGroup

	// What the loop publishes.
	leadership atomic.Pointer[leadershipView]
	status     atomic.Pointer[raft.Status]
	applied    watermark
	// roleChanges counts changes of term, role, leader or readiness.
	roleChanges watermark
	running     atomic.Bool

	clockMutex sync.Mutex
	clock      clusterclock.Clock

	tasks            backgroundTasks
	seeds            atomic.Pointer[[]string]
	bootstrapState   bootstrapState
	snapshotReceiver snapshotReceiver
	archive          archiveCopier
}

var _ Log = (*Replica)(nil)

// New makes a Replica; Run starts it.
func New(config Config) (*Replica, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	id := config.Store.ReplicaID()
	metrics, err := newMetrics(config.Registerer)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:    config,
		self:      raft.Member{ID: id, Name: config.Name, Zone: config.Zone, Address: config.Address},
		logger:    config.Logger.With("replica", string(id)),
		metrics:   metrics,
		startedAt: time.Now(),
		inbox:     make(chan inbound, inboxQueue),
		proposals: make(chan *proposal, proposalQueue),
		calls:     make(chan loopCall, callQueue),
		stopped:   make(chan struct{}),
		archive:   newArchiveCopier(),
	}
	r.SetZone(config.Zone)
	r.status.Store(&raft.Status{ID: id})
	r.leadership.Store(&leadershipView{})
	r.SetSeeds(config.Seeds)
	return r, nil
}

// SetSeeds replaces the addresses to ask from now on.
func (r *Replica) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	r.seeds.Store(&seeds)
}

// member is this replica with its present zone.
func (r *Replica) member() raft.Member {
	member := r.self
	member.Zone = *r.zone.Load()
	return member
}

// SetZone changes the zone that the membership names for this replica; the
// leader is asked to take it over.
func (r *Replica) SetZone(zone string) { r.zone.Store(&zone) }

// now is the monotonic time since the replica was made. It goes on while the
// process is frozen.
func (r *Replica) now() time.Duration { return time.Since(r.startedAt) }

// Record implements Log.
func (r *Replica) Record() *record.Machine { return r.config.Record }

// Status implements Log. Before the loop runs it carries the id alone.
func (r *Replica) Status() raft.Status { return *r.status.Load() }

// Leader implements Log.
func (r *Replica) Leader() (raft.Member, bool) {
	status := r.status.Load()
	return findMember(status.Membership, status.Leader)
}

// findMember looks in all parts of a membership.
func findMember(membership raft.Membership, id raft.ReplicaID) (raft.Member, bool) {
	for _, part := range [][]raft.Member{membership.Voters, membership.Outgoing, membership.Learners} {
		if i := indexOf(part, id); i >= 0 {
			return part[i], true
		}
	}
	return raft.Member{}, false
}

func indexOf(members []raft.Member, id raft.ReplicaID) int {
	return slices.IndexFunc(members, func(member raft.Member) bool { return member.ID == id })
}

// Run forms or joins a cluster if the store is empty, and then drives the node
// until ctx ends (nil) or a failure that forbids going on: a store that cannot
// be read or written, or an entry that cannot be applied.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.background.Wait()
	defer cancel()
	r.allowBackground(ctx)
	defer r.forbidBackground()
	err := r.run(ctx)
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func (r *Replica) run(ctx context.Context) error {
	storeWasEmpty := r.config.Store.Empty()
	if storeWasEmpty {
		if err := r.bootstrap(ctx); err != nil {
			r.stopBeforeLoop()
			return err
		}
	}
	l, err := r.newLoop(ctx, storeWasEmpty)
	if err != nil {
		r.stopBeforeLoop()
		return err
	}
	r.running.Store(true)
	r.background.Go(func() { r.maintainMembership(ctx) })
	return l.run()
}

// stopBeforeLoop releases callers when the loop never ran.
func (r *Replica) stopBeforeLoop() { close(r.stopped) }

// restored is what a start finds in the store.
type restored struct {
	raft     raft.RestoredState
	snapshot raft.SnapshotMeta
}

// restore loads the store and puts the snapshot into the record.
func (r *Replica) restore() (restored, error) {
	loaded, err := r.config.Store.Load()
	if err != nil {
		return restored{}, fmt.Errorf("load store: %w", err)
	}
	if loaded.SnapshotData != nil {
		if err := r.config.Record.Restore(bytes.NewReader(loaded.SnapshotData)); err != nil {
			return restored{}, fmt.Errorf("%w: restore record: %w", storage.ErrCorrupt, err)
		}
	}
	r.applied.advance(loaded.Snapshot.Index)
	if loaded.Snapshot.Index == bootstrapIndex {
		r.bootstrapState.end(&loaded.Snapshot.Membership)
	}
	membership, err := newestMembership(loaded)
	if err != nil {
		return restored{}, fmt.Errorf("%w: %w", storage.ErrCorrupt, err)
	}
	return restored{
		raft: raft.RestoredState{
			HardState:  loaded.HardState,
			Snapshot:   loaded.Snapshot,
			Entries:    loaded.Entries,
			Membership: membership,
			Applied:    loaded.Snapshot.Index,
		},
		snapshot: loaded.Snapshot,
	}, nil
}

func newestMembership(loaded storage.LoadedState) (raft.Membership, error) {
	for _, entry := range slices.Backward(loaded.Entries) {
		if entry.Kind == raft.EntryMembership && entry.Index > loaded.Snapshot.Index {
			return raft.DecodeMembership(entry.Data)
		}
	}
	return loaded.Snapshot.Membership, nil
}
