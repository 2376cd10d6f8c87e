package replica

import (
	"context"
	"testing"
	"time"
)

// shutdownPreparationTimeout is far more than any hand-over takes that does not wait in vain.
const shutdownPreparationTimeout = 10 * time.Second

// wantShutdownPreparationEnds: it gives up by itself, and not since its time is over.
func wantShutdownPreparationEnds(t *testing.T, m *machine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shutdownPreparationTimeout)
	defer cancel()
	m.replica.PrepareShutdown(ctx)
	if ctx.Err() != nil {
		t.Errorf("%s waited for %v until another leads, though none can", m.name, shutdownPreparationTimeout)
	}
}

// TestPrepareShutdown_NoReplicaLeft: where all stop at once, the last leader has nobody
// to hand over to, and must leave the time of its stop to the rest of it.
func TestPrepareShutdown_NoReplicaLeft(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range without(machines, leader) {
		m.crash()
	}
	wantShutdownPreparationEnds(t, leader)
}

// TestPrepareShutdown_NoQuorumLeft: one that is left is no majority with the one that
// stops, of five.
func TestPrepareShutdown_NoQuorumLeft(t *testing.T) {
	machines := newMachines(t, 5)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range without(machines, leader)[1:] {
		m.crash()
	}
	wantShutdownPreparationEnds(t, leader)
}

// TestPrepareShutdown_VoterSlotNotOfferedWithoutReplicas: a follower that stops has nobody to give its seat
// to one that stood by, as all others have stopped.
func TestPrepareShutdown_VoterSlotNotOfferedWithoutReplicas(t *testing.T) {
	seeds, fourth := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	fourth.start()
	left := without(seeds, leader)[0]
	eventually(t, "the fourth stands by", func() bool { return isLearner(left, fourth) })
	for _, m := range append(without(seeds, left), fourth) {
		m.crash()
	}
	wantShutdownPreparationEnds(t, left)
}

// TestPrepareShutdown_OneReplicaLeftLeads: one that is left of three leads, with the vote of the
// one that stops.
func TestPrepareShutdown_OneReplicaLeftLeads(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	rest := without(machines, leader)
	rest[0].crash()
	proposeRegistration(t, "after", leader) // so that the one left holds more, and is chosen
	wantShutdownPreparationEnds(t, leader)
	if next := leaderOf(t, leader, rest[1]); next != rest[1] {
		t.Errorf("%s leads, want %s", next.name, rest[1].name)
	}
}
