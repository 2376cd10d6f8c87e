package raftsim

import (
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// crash stops the process and schedules its restart after downTime. The disk loses
// its unsynced writes in half of the crashes.
func (m *machine) crash(downTime time.Duration) {
	if !m.up {
		return
	}
	s := m.simulation
	s.report.Crashes++
	s.recordEvent(m.index, "crash", uint64(downTime), 0, 0)
	m.up, m.frozen, m.resume, m.inbox = false, false, nil, nil
	m.node, m.status = nil, raft.Status{}
	m.disk.crash(s.chance(0.5))
	switch s.options.mutation {
	case mutationForgetVote:
		m.disk.synced.VotedFor, m.disk.unsynced.VotedFor = "", ""
	case mutationLoseSyncedWrite:
		m.disk.loseLastWrite()
	}
	s.after(downTime, m.start)
}

// freeze suspends the process for the duration. Work that arrives meanwhile is
// queued.
func (m *machine) freeze(duration time.Duration) {
	if !m.up || m.frozen {
		return
	}
	s := m.simulation
	s.report.Freezes++
	m.refreshStatus()
	s.recordEvent(m.index, "freeze", uint64(duration), 0, 0)
	m.frozen = true
	incarnation := m.incarnation
	s.after(duration, func() {
		if m.incarnation == incarnation {
			m.unfreeze()
		}
	})
}

// unfreeze resumes a frozen process. It checks the lease first, as a request handler
// does that was suspended while it prepared a response. The interrupted work comes
// next, then the queued work.
func (m *machine) unfreeze() {
	if !m.up || !m.frozen {
		return
	}
	m.simulation.recordEvent(m.index, "unfreeze", uint64(len(m.inbox)), 0, 0)
	m.frozen = false
	m.refreshStatus()
	if resume := m.resume; resume != nil {
		m.resume = nil
		resume()
	}
	if m.up && !m.frozen {
		m.processReadies()
	}
	m.drainInbox()
}

// drainInbox runs the queued work in order. If the process freezes again, the rest
// goes back to the front of the inbox.
func (m *machine) drainInbox() {
	queued := m.inbox
	m.inbox = nil
	for i, work := range queued {
		if !m.up {
			return
		}
		if m.frozen {
			m.inbox = append(queued[i:len(queued):len(queued)], m.inbox...)
			return
		}
		m.runOrQueue(work)
	}
}

// loseDisk crashes the machine and empties its disk. The machine restarts as a new
// replica with another id, unless mutationReuseReplicaID is set.
func (m *machine) loseDisk(downTime time.Duration) {
	s := m.simulation
	s.report.LostDisks++
	s.recordEvent(m.index, "lose disk", 0, 0, 0)
	if m.up {
		m.crash(downTime)
	}
	if s.options.mutation == mutationReuseReplicaID {
		m.disk = &disk{snapshot: raft.SnapshotMeta{Index: 1, Term: 1, Membership: s.checker.membership}}
		return
	}
	m.disk = &disk{}
	m.id = s.newReplicaID()
	m.neverStarted = true
}
