package raftsim

import (
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// Limits and timeouts of a machine. The sizes are small, so that the limits on
// append batches and on appends in flight take effect.
const (
	tickInterval       = 50 * time.Millisecond
	electionTimeoutMin = 500 * time.Millisecond
	electionTimeoutMax = time.Second
	leaseDuration      = 400 * time.Millisecond
	maxAppendBytes     = 200
	maxInflightAppends = 4
	// maxInbox is the number of work items that a frozen process queues; further
	// ones are dropped.
	maxInbox = 4000
	// retainedEntries is the number of entries that some snapshots leave in the log.
	retainedEntries = 10
)

// Probabilities of a crash and of a freeze before each step of handling a Ready.
// freezeRate also applies before each work item.
const (
	crashRate  = 0.0004
	freezeRate = 0.0003
)

// proposal is a client's command that a leader appended to its log: the term of the
// entry and the command's id.
type proposal struct {
	term uint64
	id   uint64
}

// machine is one simulated machine: its disk, and its process while it is up.
type machine struct {
	simulation *simulation
	index      int
	name       string
	id         raft.ReplicaID
	disk       *disk
	// neverStarted is true until a process first uses the disk.
	neverStarted bool
	process
}

// process is the scheduler process of a machine. A restart resets every field
// except incarnation.
type process struct {
	// incarnation counts the starts of the machine's process.
	incarnation int
	up          bool
	frozen      bool
	// resume completes the work that a freeze interrupted.
	resume func()
	// inbox has the work that arrived while the process was frozen, oldest first.
	inbox []func(now time.Duration)
	clock monotonicClock

	node *raft.Node
	// status is the node's status as of the last refreshStatus.
	status raft.Status
	// applied is the last applied index, membership the newest applied membership.
	applied        uint64
	membership     raft.Membership
	nextSnapshotAt uint64
	// proposals has, by index, the commands whose clients wait for a response.
	proposals map[uint64]proposal
	// reads has, by request, the highest index that was acknowledged before the
	// request. The read must cover it.
	reads map[uint64]uint64
}

// monotonicClock is the clock of one incarnation. It has a random offset and drifts
// against virtual time.
type monotonicClock struct {
	offset time.Duration
	// drift is in parts per 10,000.
	drift int64
}

// at returns the clock's reading at a virtual time.
func (c monotonicClock) at(now time.Duration) time.Duration {
	return c.offset + now + now/10000*time.Duration(c.drift)
}

func (m *machine) member() raft.Member {
	return raft.Member{ID: m.id, Name: m.name, Zone: "z", Address: m.name}
}

// monotonicNow returns the reading of the machine's clock at the current virtual
// time.
func (m *machine) monotonicNow() time.Duration { return m.clock.at(m.simulation.now) }

// start starts a new incarnation of the process from the disk, unless the machine
// is up.
func (m *machine) start() {
	if m.up {
		return
	}
	s := m.simulation
	m.incarnation++
	m.clock = monotonicClock{offset: s.randomDuration(0, 1000*time.Second), drift: s.random.Int64N(201) - 100}
	config := m.config()
	node, err := raft.New(config, m.disk.restoredState())
	if err != nil {
		s.fail("machine %d does not start: %v", m.index, err)
		return
	}
	s.recordEvent(m.index, "start", uint64(m.incarnation), m.disk.snapshot.Index, m.disk.synced.Term)
	m.neverStarted = false
	m.up, m.frozen, m.resume, m.inbox = true, false, nil, nil
	m.node = node
	m.applied = m.disk.snapshot.Index
	m.membership = m.disk.snapshot.Membership
	m.nextSnapshotAt = m.applied + 20 + s.random.Uint64N(60)
	m.proposals = make(map[uint64]proposal)
	m.reads = make(map[uint64]uint64)
	m.refreshStatus()
	m.scheduleTick(m.incarnation)
}

// config returns the node's configuration. A replica that has started before gets a
// vote delay (NoVoteBefore), unless a mutation disables it.
func (m *machine) config() raft.Config {
	config := raft.Config{
		ID:                 m.id,
		TickInterval:       tickInterval,
		ElectionTimeoutMin: electionTimeoutMin,
		ElectionTimeoutMax: electionTimeoutMax,
		LeaseDuration:      leaseDuration,
		MaxAppendBytes:     maxAppendBytes,
		MaxInflightAppends: maxInflightAppends,
		Seed:               m.simulation.random.Int64(),
		NoVoteBefore:       m.monotonicNow() + electionTimeoutMin,
	}
	noVoteDelay := m.simulation.options.mutation == mutationNoVoteDelay || m.simulation.options.mutation == mutationForgetVote
	if m.neverStarted || noVoteDelay {
		config.NoVoteBefore = 0
	}
	return config
}

// scheduleTick ticks the node about every tickInterval until the incarnation ends.
// Ticks are skipped while the process is frozen.
func (m *machine) scheduleTick(incarnation int) {
	m.simulation.after(m.simulation.randomDuration(tickInterval-2*time.Millisecond, tickInterval+5*time.Millisecond), func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		if !m.frozen {
			m.runOrQueue(m.node.Tick)
		}
		m.scheduleTick(incarnation)
	})
}

// runOrQueue runs work in the process with the current monotonic time and then
// handles what is ready. It queues work while the process is frozen, and drops it
// while the machine is down.
func (m *machine) runOrQueue(work func(now time.Duration)) {
	if !m.up {
		return
	}
	if m.frozen {
		if len(m.inbox) < maxInbox {
			m.inbox = append(m.inbox, work)
		}
		return
	}
	now := m.monotonicNow()
	if s := m.simulation; !s.healed && s.chance(freezeRate) {
		// The process freezes after it read the clock, and later continues with
		// that stale time.
		m.freeze(s.freezeDuration())
		m.resume = func() { work(now) }
		return
	}
	work(now)
	m.processReadies()
}

// step delivers a message to the node. It drops a message to a replica that the
// machine had before it lost its disk.
func (m *machine) step(now time.Duration, message raft.Message) {
	m.simulation.recordEvent(m.index, "step", uint64(message.Kind), message.Term, message.Index)
	if message.To != m.id {
		return
	}
	if m.simulation.options.mutation == mutationStaleTimeoutNow && message.Kind == raft.MessageTimeoutNow {
		message.Term = max(message.Term, m.status.Term)
	}
	if err := m.node.Step(now, message); err != nil {
		m.simulation.fail("machine %d rejects a message: %v", m.index, err)
	}
}

// processReadies handles each Ready until there is none, or until the process stops
// or a guarantee is violated.
func (m *machine) processReadies() {
	m.refreshStatus()
	for m.up && !m.frozen && m.simulation.violation == nil && m.node.HasReady() {
		m.handleReady(m.node.Ready(), readySendEarly)
		m.refreshStatus()
	}
}

// readyStep is a step of handling a Ready, in the order that raft.Ready requires.
type readyStep int

const (
	readySendEarly readyStep = iota
	readyPersist
	readySend
	readyApply
	readyAdvance
	readyDone
)

// handleReady handles a Ready from the given step on. A crash or a freeze may
// interrupt it before each step.
func (m *machine) handleReady(ready raft.Ready, step readyStep) {
	for ; step < readyDone; step++ {
		if m.interrupted(ready, step) {
			return
		}
		switch step {
		case readySendEarly:
			m.sendAll(ready.EarlyMessages)
		case readyPersist:
			m.persist(ready)
		case readySend:
			m.sendAll(ready.Messages)
		case readyApply:
			m.apply(ready)
		case readyAdvance:
			m.node.Advance(ready)
			m.saveSnapshot()
		}
	}
}

// interrupted crashes or freezes the process at random before a step, and reports
// whether it did. After a freeze the process resumes with that step.
func (m *machine) interrupted(ready raft.Ready, step readyStep) bool {
	s := m.simulation
	if s.healed || s.violation != nil {
		return false
	}
	draw := s.random.Float64()
	switch {
	case draw < crashRate:
		m.crash(s.randomDuration(10*time.Millisecond, 2*time.Second))
		return true
	case draw < crashRate+freezeRate:
		m.freeze(s.freezeDuration())
		m.resume = func() { m.handleReady(ready, step) }
		return true
	default:
		return false
	}
}

// persist writes a Ready to the disk and requires that entries come with a sync.
func (m *machine) persist(ready raft.Ready) {
	if !ready.MustSync && len(ready.Entries) > 0 {
		m.simulation.fail("machine %d: entries without a sync", m.index)
	}
	m.disk.write(ready)
}

// sendAll sends messages over the network, and starts a transfer for each snapshot.
func (m *machine) sendAll(messages []raft.Message) {
	for _, message := range messages {
		if message.Kind == raft.MessageSnapshot {
			m.simulation.transferSnapshot(m, message)
			continue
		}
		m.simulation.transmit(m, message)
	}
}

// apply applies the committed entries, which must be consecutive, responds to their
// clients and completes reads.
func (m *machine) apply(ready raft.Ready) {
	s := m.simulation
	for _, entry := range ready.Committed {
		if entry.Index != m.applied+1 {
			s.fail("machine %d applies %d after %d", m.index, entry.Index, m.applied)
			return
		}
		m.applied = entry.Index
		s.checkApplied(m, entry)
		m.acknowledge(entry)
	}
	for _, state := range ready.ReadStates {
		s.checkRead(m, state)
	}
}

// acknowledge responds to the client whose proposal is at the entry's index, if the
// entry has the proposal's term. Otherwise another leader's entry replaced it.
func (m *machine) acknowledge(entry raft.Entry) {
	waiting, ok := m.proposals[entry.Index]
	if !ok {
		return
	}
	delete(m.proposals, entry.Index)
	if waiting.term == entry.Term {
		m.simulation.acknowledge(m, waiting.id, entry.Index)
	}
}

// saveSnapshot saves a snapshot and compacts the log once nextSnapshotAt is applied.
// In half of the cases it retains the last entries before the snapshot's index.
func (m *machine) saveSnapshot() {
	if m.applied < m.nextSnapshotAt {
		return
	}
	s := m.simulation
	retained := uint64(0)
	if s.chance(0.5) {
		retained = retainedEntries
	}
	term, _ := s.checker.termAt(m.applied)
	meta := raft.SnapshotMeta{Index: m.applied, Term: term, Membership: m.membership}
	m.disk.saveSnapshot(meta, retained)
	compactMeta := meta
	compactMeta.Index -= min(retained, compactMeta.Index-1)
	compactMeta.Term, _ = s.checker.termAt(compactMeta.Index)
	m.node.Compact(compactMeta)
	m.nextSnapshotAt = m.applied + 20 + s.random.Uint64N(60)
	s.recordEvent(m.index, "save", m.applied, retained, 0)
}

// install installs a snapshot from the leader, unless the log already covers it.
func (m *machine) install(now time.Duration, meta raft.SnapshotMeta) {
	// The owner handles each Ready before it installs a snapshot. No crash or
	// freeze interrupts this, because the installation is a single step.
	for m.node.HasReady() {
		ready := m.node.Ready()
		m.sendAll(ready.EarlyMessages)
		m.persist(ready)
		m.sendAll(ready.Messages)
		m.apply(ready)
		m.node.Advance(ready)
	}
	if m.simulation.violation != nil || !m.node.ShouldInstallSnapshot(meta) {
		return
	}
	m.disk.installSnapshot(meta)
	m.applied = meta.Index
	m.membership = meta.Membership
	m.nextSnapshotAt = max(m.nextSnapshotAt, m.applied+20)
	m.node.SnapshotInstalled(now, meta)
	m.simulation.report.SnapshotsInstalled++
	m.simulation.recordEvent(m.index, "install", meta.Index, meta.Term, 0)
}

// refreshStatus updates the status and checks the guarantees on leaders and leases,
// which must hold at any time.
func (m *machine) refreshStatus() {
	if !m.up {
		return
	}
	before := m.status
	m.status = m.node.Status()
	if m.simulation.options.mutation == mutationLeaseDuringTransfer && m.status.LeaseUntil == 0 &&
		m.status.Role == raft.RoleLeader && before.Term == m.status.Term {
		m.status.LeaseUntil = before.LeaseUntil
	}
	m.simulation.checkLeader(m)
	m.simulation.checkLease(m)
}

// claimsLease reports whether a request handler on this machine would take the lease
// as valid now, by its last status and its own clock.
func (m *machine) claimsLease() bool {
	if !m.up || m.status.LeaseUntil == 0 {
		return false
	}
	until := m.status.LeaseUntil
	if m.simulation.options.mutation == mutationOverlongLease {
		until += 2 * time.Second
	}
	return until > m.monotonicNow()
}
