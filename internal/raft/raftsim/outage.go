package raftsim

import (
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// crash stops the process; it starts again after downTime.
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

// freeze stops the process from running; what comes meanwhile is queued.
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

// unfreeze lets the process go on. Before anything else it checks its lease, as
// a handler does that was in the middle of a response.
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

func (m *machine) drainInbox() {
	waiting := m.inbox
	m.inbox = nil
	for i, work := range waiting {
		if !m.up {
			return
		}
		if m.frozen {
			m.inbox = append(waiting[i:len(waiting):len(waiting)], m.inbox...)
			return
		}
		m.do(work)
	}
}

// loseDisk makes the machine come back empty, as another replica.
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
