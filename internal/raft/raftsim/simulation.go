package raftsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// Durations of a run, in virtual time.
const (
	defaultFaultDuration = 15 * time.Second
	// recoveryTimeout is the maximum time from the end of the faults until a new
	// proposal is acknowledged.
	recoveryTimeout = 12 * time.Second
	// convergenceTimeout is the maximum time from the end of the faults until the
	// cluster has converged.
	convergenceTimeout = 30 * time.Second
	// convergencePollInterval is the time between checks for recovery and
	// convergence.
	convergencePollInterval = 250 * time.Millisecond
)

// simulation is the state of one run. One goroutine owns it.
type simulation struct {
	options Options
	// random is the source of all random values of the run.
	random *rand.Rand
	// now is the virtual time, zero at the start of the run.
	now   time.Duration
	queue eventQueue
	// scheduledEvents counts the events that were ever scheduled.
	scheduledEvents uint64
	machines        []*machine
	// initialVoters is the number of machines in the initial membership. They come
	// first in machines, before the spares.
	initialVoters int
	network       network
	checker       checker
	// healed is true once no more faults are injected.
	healed bool

	// nextReplica, nextProposal and nextRead are the last ids that were assigned.
	nextReplica  uint64
	nextProposal uint64
	nextRead     uint64
	// proposalsPausedUntil is the virtual time at which clients propose again.
	proposalsPausedUntil time.Duration

	report Report
	// trace is a ring buffer of the last events.
	trace [maxTraceEvents]traceEvent
	// violation is the first violated guarantee, which ends the run; nil if none.
	violation *ViolationError
}

// Run runs one seed: faults for Options.FaultDuration, then recovery without
// faults. It returns a *ViolationError if a guarantee is violated.
func Run(options Options) (Report, error) {
	s := newSimulation(options)
	s.runUntil(s.options.FaultDuration)
	s.heal()
	s.checkRecovery()
	if s.violation != nil {
		return s.report, s.violation
	}
	return s.report, nil
}

func newSimulation(options Options) *simulation {
	if options.FaultDuration == 0 {
		options.FaultDuration = defaultFaultDuration
	}
	s := &simulation{
		options: options,
		random:  rand.New(rand.NewPCG(uint64(options.Seed), 0x7261667473696d)),
		report:  Report{Seed: options.Seed},
	}
	s.initialVoters = options.Machines
	if s.initialVoters == 0 {
		s.initialVoters = 3
		if s.chance(0.2) {
			s.initialVoters = 5
		}
	}
	if s.options.scenario == scenarioRandom {
		s.options.scenario = s.randomScenario()
	}
	s.checker = newChecker()
	s.addMachines()
	s.network = newNetwork(len(s.machines))
	s.startAll()
	return s
}

func (s *simulation) randomScenario() scenario {
	switch draw := s.random.Float64(); {
	case draw < 0.1:
		return scenarioVoterRestarts
	case draw < 0.2:
		return scenarioLateTransfers
	default:
		return scenarioMixed
	}
}

func (s *simulation) addMachines() {
	count := s.initialVoters + s.options.Spares
	if s.options.Spares == 0 && s.chance(0.3) {
		count++
	}
	initialSnapshot := raft.SnapshotMeta{Index: 1, Term: 1}
	for i := range count {
		m := &machine{simulation: s, index: i, name: fmt.Sprintf("control-%d", i), id: s.newReplicaID()}
		s.machines = append(s.machines, m)
		if i < s.initialVoters {
			initialSnapshot.Membership.Voters = append(initialSnapshot.Membership.Voters, m.member())
		}
	}
	for i, m := range s.machines {
		m.disk = &disk{}
		if i < s.initialVoters {
			m.disk.snapshot = initialSnapshot
		}
	}
	s.checker.membership = initialSnapshot.Membership
}

func (s *simulation) startAll() {
	for _, m := range s.machines {
		m.neverStarted = true
		s.after(s.randomDuration(0, 300*time.Millisecond), m.start)
	}
	s.after(time.Second, s.proposeMembershipChange)
	s.after(200*time.Millisecond, s.issueClientRequests)
	s.after(1500*time.Millisecond, s.nextFault)
}

// newReplicaID returns an id that no replica of the run has had.
func (s *simulation) newReplicaID() raft.ReplicaID {
	s.nextReplica++
	return raft.ReplicaID(fmt.Sprintf("%016x", s.nextReplica))
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// randomDuration returns a random duration from low to high, both included.
func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// fail records a violated guarantee, which ends the run. Only the first one is kept.
func (s *simulation) fail(format string, arguments ...any) {
	if s.violation != nil {
		return
	}
	s.violation = &ViolationError{
		Seed:       s.options.Seed,
		At:         s.now,
		Reason:     fmt.Sprintf(format, arguments...),
		LastEvents: s.lastTraceEvents(),
	}
}

// machineOf returns the machine that holds the replica's disk, or nil if the disk is
// lost.
func (s *simulation) machineOf(id raft.ReplicaID) *machine {
	for _, m := range s.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// heal ends all faults: it heals the network, resumes frozen processes and starts
// crashed ones.
func (s *simulation) heal() {
	s.healed = true
	s.recordEvent(0, "heal", 0, 0, 0)
	s.network.heal()
	for _, m := range s.machines {
		m.unfreeze()
		if !m.up {
			m.start()
		}
	}
}

// checkRecovery requires that a new proposal is acknowledged within recoveryTimeout
// and that the cluster converges within convergenceTimeout, both from now.
func (s *simulation) checkRecovery() {
	before := s.nextProposal
	healedAt := s.now
	deadline := s.now + recoveryTimeout
	for s.violation == nil && !s.checker.acknowledgedAfter(before) {
		if s.now >= deadline {
			s.fail("no proposal was acknowledged within %v after the last fault", recoveryTimeout)
			return
		}
		s.runUntil(s.now + convergencePollInterval)
	}
	for s.violation == nil && !s.converged() {
		if s.now >= healedAt+convergenceTimeout {
			s.fail("not converged within %v: %s", convergenceTimeout, s.notConvergedReason())
			return
		}
		s.runUntil(s.now + convergencePollInterval)
	}
	if s.violation == nil {
		s.checkFinal()
	}
}
