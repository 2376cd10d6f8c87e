package raftsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// Times of a run.
const (
	defaultFaultTime = 15 * time.Second
	// recoveryTimeout is how long after the last fault the cluster may take until
	// a new proposal is acknowledged.
	recoveryTimeout = 12 * time.Second
	// convergenceTimeout is how long until all voters are up and equal again.
	convergenceTimeout      = 30 * time.Second
	convergencePollInterval = 250 * time.Millisecond
)

// simulation is one run.
type simulation struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	queue     eventQueue
	scheduled uint64
	machines  []*machine
	// initialVoters is how many of the machines form the cluster; spares follow
	// them in machines.
	initialVoters int
	network       network
	checker       checker
	healed        bool

	nextReplica  uint64
	nextProposal uint64
	nextRead     uint64
	// proposalsPausedUntil is when the clients propose again.
	proposalsPausedUntil time.Duration

	report    Report
	trace     [maxTraceEvents]traceEvent
	violation *ViolationError
}

// Run plays one seed. A violated guarantee is returned as a *Violation.
func Run(options Options) (Report, error) {
	s := newSimulation(options)
	s.runUntil(s.options.FaultTime)
	s.heal()
	s.checkRecovery()
	if s.violation != nil {
		return s.report, s.violation
	}
	return s.report, nil
}

func newSimulation(options Options) *simulation {
	if options.FaultTime == 0 {
		options.FaultTime = defaultFaultTime
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
	if s.options.scenario == scenarioDrawn {
		s.options.scenario = s.drawScenario()
	}
	s.checker = newChecker()
	s.addMachines()
	s.network = newNetwork(len(s.machines))
	s.startAll()
	return s
}

func (s *simulation) drawScenario() scenario {
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
		s.after(s.between(0, 300*time.Millisecond), m.start)
	}
	s.after(time.Second, s.operatorTurn)
	s.after(200*time.Millisecond, s.clientTurn)
	s.after(1500*time.Millisecond, s.nextFault)
}

func (s *simulation) newReplicaID() raft.ReplicaID {
	s.nextReplica++
	return raft.ReplicaID(fmt.Sprintf("%016x", s.nextReplica))
}

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// fail records the first violated guarantee and ends the run.
func (s *simulation) fail(format string, arguments ...any) {
	if s.violation != nil {
		return
	}
	s.violation = &ViolationError{
		Seed:   s.options.Seed,
		At:     s.now,
		Reason: fmt.Sprintf(format, arguments...),
		Last:   s.lastTraceEvents(),
	}
}

// machineOf returns the machine that has a replica's disk; nil if it is lost.
func (s *simulation) machineOf(id raft.ReplicaID) *machine {
	for _, m := range s.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// heal ends all faults.
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

// checkRecovery requires that a new proposal is acknowledged, and then that the
// cluster converges.
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
