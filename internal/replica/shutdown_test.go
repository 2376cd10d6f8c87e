package replica

import (
	"context"
	"testing"
	"time"
)

// shutdownPreparationTimeout is far more than any preparation takes that does not wait in
// vain.
const shutdownPreparationTimeout = 10 * time.Second

// wantShutdownPreparationEnds checks that it gives up by itself, and not because its
// context has ended.
func wantShutdownPreparationEnds(t *testing.T, m *machine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shutdownPreparationTimeout)
	defer cancel()
	m.replica.PrepareShutdown(ctx)
	if ctx.Err() != nil {
		t.Errorf("%s waited for %v until another leads, though none can", m.name, shutdownPreparationTimeout)
	}
}

// TestPrepareShutdown_NoReplicaLeft: where all stop at once, the last leader has no
// successor, and must leave the time for its stop to what follows.
func TestPrepareShutdown_NoReplicaLeft(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range without(machines, leader) {
		m.crash()
	}
	wantShutdownPreparationEnds(t, leader)
}

// TestPrepareShutdown_NoQuorumLeft: of five, the one that is left is no majority with the
// one that stops.
func TestPrepareShutdown_NoQuorumLeft(t *testing.T) {
	machines := newMachines(t, 5)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range without(machines, leader)[1:] {
		m.crash()
	}
	wantShutdownPreparationEnds(t, leader)
}

// TestPrepareShutdown_VoterSlotNotOfferedWithoutReplicas: a follower that stops finds no
// leader that could give its slot to the standby, as all others have stopped.
func TestPrepareShutdown_VoterSlotNotOfferedWithoutReplicas(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	left := without(seeds, leader)[0]
	eventually(t, "the fourth is a learner", func() bool { return isLearner(left, fourth) })
	for _, m := range append(without(seeds, left), fourth) {
		m.crash()
	}
	wantShutdownPreparationEnds(t, left)
}

// TestPrepareShutdown_OneReplicaLeftLeads: of three, the one that is left leads with the
// vote of the one that stops.
func TestPrepareShutdown_OneReplicaLeftLeads(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	rest := without(machines, leader)
	rest[0].crash()
	proposeRegistration(t, "after", leader) // so that the one left has the longer log, and is elected
	wantShutdownPreparationEnds(t, leader)
	if next := leaderOf(t, leader, rest[1]); next != rest[1] {
		t.Errorf("%s leads, want %s", next.name, rest[1].name)
	}
}

func TestPrepareShutdown_TransfersLeadership(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	leader.replica.PrepareShutdown(ctx)
	if ctx.Err() != nil || leader.replica.HoldsLease(token) {
		t.Fatalf("after the transfer: %v, lease held %v", ctx.Err(), leader.replica.HoldsLease(token))
	}
	next := leaderOf(t, without(machines, leader)...)
	if got := next.replica.Status().Term; got <= token {
		t.Fatalf("new token %d is not above %d", got, token)
	}
}

// TestPrepareShutdown_StandbyTakesVoterSlot: with a standby, a planned stop leaves as many
// voters as before, at once.
func TestPrepareShutdown_StandbyTakesVoterSlot(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	eventually(t, "the fourth is a learner", func() bool { return isLearner(leader, fourth) })
	proposeRegistration(t, "before", leader)

	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	leader.replica.PrepareShutdown(ctx)
	left := append(without(seeds, leader), fourth)
	eventually(t, "the fourth has the slot", func() bool {
		now := leaderOf(t, left...)
		return isVoter(now, fourth) && !isVoter(now, leader) && len(voterIDs(now)) == 3
	})
	leader.crash()
	proposeRegistration(t, "after", left...)
}
