package raftsim

import (
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// Delays of a late TimeoutNow: the transfer has failed and another leader
// is elected by then.
const (
	minTimeoutNowDelay = 2500 * time.Millisecond
	maxTimeoutNowDelay = 5 * time.Second
)

// network says which links work and how well.
type network struct {
	// partitions[from][to] counts the partitions that block the link one way.
	partitions [][]int
	// dropRate, doubleRate and slowRate are probabilities for one message.
	dropRate   float64
	doubleRate float64
	slowRate   float64
	// delayTimeoutNowUntil: a TimeoutNow that is sent before arrives late.
	delayTimeoutNowUntil time.Duration
}

func newNetwork(machines int) network {
	n := network{partitions: make([][]int, machines)}
	for i := range n.partitions {
		n.partitions[i] = make([]int, machines)
	}
	return n
}

func (n *network) heal() {
	n.delayTimeoutNowUntil = 0
	n.dropRate, n.doubleRate, n.slowRate = 0, 0, 0
	for _, row := range n.partitions {
		clear(row)
	}
}

// transmit sends a message on its way.
func (s *simulation) transmit(from *machine, message raft.Message) {
	to := s.machineOf(message.To)
	if to == nil {
		return
	}
	s.recordEvent(from.index, "send", uint64(message.Kind), uint64(to.index), message.Term)
	if s.network.partitions[from.index][to.index] > 0 || s.chance(s.network.dropRate) {
		return
	}
	s.deliverAfter(from, to, message, s.delay(message))
	if s.chance(s.network.doubleRate) {
		s.deliverAfter(from, to, message, s.between(0, 6*time.Second))
	}
}

// delay makes a message late at times, and TimeoutNow very late: the old
// leader's permission then comes long after others were elected.
func (s *simulation) delay(message raft.Message) time.Duration {
	if message.Kind == raft.MessageTimeoutNow && s.now < s.network.delayTimeoutNowUntil {
		return s.between(minTimeoutNowDelay, maxTimeoutNowDelay)
	}
	if s.chance(s.network.slowRate) {
		return s.between(0, 800*time.Millisecond)
	}
	return s.between(200*time.Microsecond, 5*time.Millisecond)
}

func (s *simulation) deliverAfter(from, to *machine, message raft.Message, delay time.Duration) {
	if s.options.mutation == mutationNoStickiness && message.Kind <= raft.MessageVote {
		message.Transfer = true
	}
	s.after(delay, func() {
		if s.network.partitions[from.index][to.index] > 0 {
			return
		}
		if message.Kind == raft.MessageTimeoutNow && delay > time.Second {
			s.report.LateTimeoutNows++
			s.partitionFromLeaders(to)
		}
		to.do(func(now time.Duration) { to.step(now, message) })
	})
}

// partitionFromLeaders cuts a machine's links to the leaders at times: the present
// one does not learn that a late TimeoutNow was followed.
func (s *simulation) partitionFromLeaders(m *machine) {
	if s.healed || s.chance(0.5) {
		return
	}
	for _, leader := range s.believedLeaders() {
		s.partitionLink(m.index, leader.index, electionTimeoutMin)
	}
}

// transferSnapshot moves the sender's newest snapshot, as its driver would.
func (s *simulation) transferSnapshot(from *machine, message raft.Message) {
	meta := from.disk.snapshot
	incarnation := from.incarnation
	report := func(succeeded bool) {
		s.after(s.between(time.Millisecond, 50*time.Millisecond), func() {
			if from.incarnation == incarnation {
				from.do(func(now time.Duration) { from.node.ReportSnapshot(now, message.To, meta.Index, succeeded) })
			}
		})
	}
	s.after(s.between(20*time.Millisecond, 400*time.Millisecond), func() {
		to := s.machineOf(message.To)
		if to == nil || !to.up || s.network.partitions[from.index][to.index] > 0 || s.chance(s.network.dropRate) {
			report(false)
			return
		}
		message.Snapshot = &meta
		to.do(func(now time.Duration) {
			to.step(now, message)
			to.install(now, meta)
		})
		report(true)
	})
}
