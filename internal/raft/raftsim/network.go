package raftsim

import (
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// Bounds of the delay of a late TimeoutNow. They are long enough that the transfer
// has failed and another leader is elected before the message arrives.
const (
	minTimeoutNowDelay = 2500 * time.Millisecond
	maxTimeoutNowDelay = 5 * time.Second
)

// network is the state of the links between machines, by machine index.
type network struct {
	// partitions[from][to] counts the partitions that block the link in that
	// direction. Messages pass if the count is zero.
	partitions [][]int
	// dropRate, duplicateRate and delayRate are the probabilities that a message
	// is lost, duplicated or delayed.
	dropRate      float64
	duplicateRate float64
	delayRate     float64
	// delayTimeoutNowUntil is the virtual time before which each TimeoutNow that
	// is sent gets a long delay.
	delayTimeoutNowUntil time.Duration
}

func newNetwork(machines int) network {
	n := network{partitions: make([][]int, machines)}
	for i := range n.partitions {
		n.partitions[i] = make([]int, machines)
	}
	return n
}

// heal removes all partitions and message faults.
func (n *network) heal() {
	n.delayTimeoutNowUntil = 0
	n.dropRate, n.duplicateRate, n.delayRate = 0, 0, 0
	for _, row := range n.partitions {
		clear(row)
	}
}

// transmit schedules the delivery of a message, unless the link is partitioned or
// drops it. A duplicate may arrive up to 6 s later.
func (s *simulation) transmit(from *machine, message raft.Message) {
	to := s.machineOf(message.To)
	if to == nil {
		return
	}
	s.recordEvent(from.index, "send", uint64(message.Kind), uint64(to.index), message.Term)
	if s.network.partitions[from.index][to.index] > 0 || s.chance(s.network.dropRate) {
		return
	}
	s.deliverAfter(from, to, message, s.messageDelay(message))
	if s.chance(s.network.duplicateRate) {
		s.deliverAfter(from, to, message, s.randomDuration(0, 6*time.Second))
	}
}

// messageDelay returns a random delay for a message: up to 5 ms, sometimes up to
// 800 ms, and a long one for a TimeoutNow before delayTimeoutNowUntil. Such a
// TimeoutNow arrives long after another leader was elected.
func (s *simulation) messageDelay(message raft.Message) time.Duration {
	if message.Kind == raft.MessageTimeoutNow && s.now < s.network.delayTimeoutNowUntil {
		return s.randomDuration(minTimeoutNowDelay, maxTimeoutNowDelay)
	}
	if s.chance(s.network.delayRate) {
		return s.randomDuration(0, 800*time.Millisecond)
	}
	return s.randomDuration(200*time.Microsecond, 5*time.Millisecond)
}

// deliverAfter delivers a message after the delay, unless the link is partitioned at
// that time.
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
		to.runOrQueue(func(now time.Duration) { to.step(now, message) })
	})
}

// partitionFromLeaders blocks the links from m to the believed leaders in half of
// the calls. The current leader then does not learn that m campaigned because of a
// late TimeoutNow.
func (s *simulation) partitionFromLeaders(m *machine) {
	if s.healed || s.chance(0.5) {
		return
	}
	for _, leader := range s.believedLeaders() {
		s.partitionLink(m.index, leader.index, electionTimeoutMin)
	}
}

// transferSnapshot sends the sender's newest snapshot and reports the result to the
// sender's node, as the owner of a node does.
func (s *simulation) transferSnapshot(from *machine, message raft.Message) {
	meta := from.disk.snapshot
	incarnation := from.incarnation
	report := func(succeeded bool) {
		s.after(s.randomDuration(time.Millisecond, 50*time.Millisecond), func() {
			if from.incarnation == incarnation {
				from.runOrQueue(func(now time.Duration) { from.node.ReportSnapshot(now, message.To, meta.Index, succeeded) })
			}
		})
	}
	s.after(s.randomDuration(20*time.Millisecond, 400*time.Millisecond), func() {
		to := s.machineOf(message.To)
		if to == nil || !to.up || s.network.partitions[from.index][to.index] > 0 || s.chance(s.network.dropRate) {
			report(false)
			return
		}
		message.Snapshot = &meta
		to.runOrQueue(func(now time.Duration) {
			to.step(now, message)
			to.install(now, meta)
		})
		report(true)
	})
}
