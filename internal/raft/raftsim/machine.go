package raftsim

import (
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// Sizes of a machine's node: small, so that batches and windows matter.
const (
	tickInterval       = 50 * time.Millisecond
	electionTimeoutMin = 500 * time.Millisecond
	electionTimeoutMax = time.Second
	leaseDuration      = 400 * time.Millisecond
	maxAppendBytes     = 200
	maxInflightAppends = 4
	maxInbox           = 4000
	retainedEntries    = 10
)

// Probabilities of an interruption between two steps of handling a Ready.
const (
	crashRate  = 0.0004
	freezeRate = 0.0003
)

// proposal is a client's command in a leader's log.
type proposal struct {
	term uint64
	id   uint64
}

// machine is one control machine: its disk, and its process while it is up.
type machine struct {
	simulation *simulation
	index      int
	name       string
	id         raft.ReplicaID
	disk       *disk
	// neverStarted: no process has used the disk yet.
	neverStarted bool
	process
}

// process is one control process. Only incarnation outlives a crash.
type process struct {
	// incarnation counts the starts of the machine's process.
	incarnation int
	up          bool
	frozen      bool
	// resume completes the work that a freeze interrupted.
	resume func()
	// inbox has the work that arrived while the process was frozen.
	inbox []func(now time.Duration)
	clock monotonicClock

	node       *raft.Node
	status     raft.Status
	applied    uint64
	membership raft.Membership
	nextSave   uint64
	proposals  map[uint64]proposal
	// reads has, by request, the highest index acknowledged before it.
	reads map[uint64]uint64
}

// monotonicClock is the clock of one incarnation: it starts anywhere and drifts.
type monotonicClock struct {
	offset time.Duration
	// drift is in parts per 10,000.
	drift int64
}

// at returns the clock's reading at a true time.
func (c monotonicClock) at(now time.Duration) time.Duration {
	return c.offset + now + now/10000*time.Duration(c.drift)
}

func (m *machine) member() raft.Member {
	return raft.Member{ID: m.id, Name: m.name, Zone: "z", Address: m.name}
}

// monotonicNow returns the machine's monotonic time at this true time.
func (m *machine) monotonicNow() time.Duration { return m.clock.at(m.simulation.now) }

// start starts the process from the disk.
func (m *machine) start() {
	if m.up {
		return
	}
	s := m.simulation
	m.incarnation++
	m.clock = monotonicClock{offset: s.between(0, 1000*time.Second), drift: s.random.Int64N(201) - 100}
	config := m.config()
	node, err := raft.New(config, m.disk.restored())
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
	m.nextSave = m.applied + 20 + s.random.Uint64N(60)
	m.proposals = make(map[uint64]proposal)
	m.reads = make(map[uint64]uint64)
	m.refreshStatus()
	m.scheduleTick(m.incarnation)
}

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

func (m *machine) scheduleTick(incarnation int) {
	m.simulation.after(m.simulation.between(tickInterval-2*time.Millisecond, tickInterval+5*time.Millisecond), func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		if !m.frozen {
			m.do(m.node.Tick)
		}
		m.scheduleTick(incarnation)
	})
}

// do runs work in the process, or queues it while the process is frozen.
func (m *machine) do(work func(now time.Duration)) {
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
		// It freezes after it read its clock, and continues with that time.
		m.freeze(s.freezeTime())
		m.resume = func() { work(now) }
		return
	}
	work(now)
	m.processReadies()
}

func (m *machine) step(now time.Duration, message raft.Message) {
	m.simulation.recordEvent(m.index, "step", uint64(message.Kind), message.Term, message.Index)
	if message.To != m.id {
		return
	}
	if m.simulation.options.mutation == mutationStaleTimeoutNow && message.Kind == raft.MessageTimeoutNow {
		message.Term = max(message.Term, m.status.Term)
	}
	if err := m.node.Step(now, message); err != nil {
		m.simulation.fail("machine %d refuses a message: %v", m.index, err)
	}
}

// processReadies handles every Ready until there is none.
func (m *machine) processReadies() {
	m.refreshStatus()
	for m.up && !m.frozen && m.simulation.violation == nil && m.node.HasReady() {
		m.handleReady(m.node.Ready(), readySendEarly)
		m.refreshStatus()
	}
}

// readyStep is a step of handling a Ready, in the order that raft.Ready wants.
type readyStep int

const (
	readySendEarly readyStep = iota
	readyPersist
	readySend
	readyApply
	readyAdvance
	readyDone
)

// handleReady does the steps of a Ready from one on; a crash or a freeze may
// come before each.
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

// interrupted decides at random whether the process stops before a step.
func (m *machine) interrupted(ready raft.Ready, step readyStep) bool {
	s := m.simulation
	if s.healed || s.violation != nil {
		return false
	}
	draw := s.random.Float64()
	switch {
	case draw < crashRate:
		m.crash(s.between(10*time.Millisecond, 2*time.Second))
		return true
	case draw < crashRate+freezeRate:
		m.freeze(s.freezeTime())
		m.resume = func() { m.handleReady(ready, step) }
		return true
	default:
		return false
	}
}

func (m *machine) persist(ready raft.Ready) {
	if !ready.MustSync && len(ready.Entries) > 0 {
		m.simulation.fail("machine %d: entries without a sync", m.index)
	}
	m.disk.write(ready)
}

func (m *machine) sendAll(messages []raft.Message) {
	for _, message := range messages {
		if message.Kind == raft.MessageSnapshot {
			m.simulation.transferSnapshot(m, message)
			continue
		}
		m.simulation.transmit(m, message)
	}
}

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

// acknowledge responds to the client whose proposal this is.
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

// saveSnapshot compacts from time to time, and sometimes retains some entries.
func (m *machine) saveSnapshot() {
	if m.applied < m.nextSave {
		return
	}
	s := m.simulation
	keep := uint64(0)
	if s.chance(0.5) {
		keep = retainedEntries
	}
	term, _ := s.checker.termAt(m.applied)
	meta := raft.SnapshotMeta{Index: m.applied, Term: term, Membership: m.membership}
	m.disk.saveSnapshot(meta, keep)
	early := meta
	early.Index -= min(keep, early.Index-1)
	early.Term, _ = s.checker.termAt(early.Index)
	m.node.Compact(early)
	m.nextSave = m.applied + 20 + s.random.Uint64N(60)
	s.recordEvent(m.index, "save", m.applied, keep, 0)
}

// install installs a snapshot from the leader, unless it came too late.
func (m *machine) install(now time.Duration, meta raft.SnapshotMeta) {
	// The owner handles what is ready first; without interruption here, since
	// this is one step of it.
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
	m.nextSave = max(m.nextSave, m.applied+20)
	m.node.SnapshotInstalled(now, meta)
	m.simulation.report.SnapshotsInstalled++
	m.simulation.recordEvent(m.index, "install", meta.Index, meta.Term, 0)
}

// refreshStatus reads the status and checks what must hold at every moment.
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

// claimsLease is what a request handler on this machine would conclude now.
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
