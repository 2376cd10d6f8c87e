package replica

import (
	"context"
	"testing"
	"time"
)

// shutdownPreparationTimeout is far longer than a preparation takes unless it waits for a
// successor that cannot take over.
const shutdownPreparationTimeout = 10 * time.Second

// wantShutdownPreparationEnds checks that PrepareShutdown returns before its context ends.
func wantShutdownPreparationEnds(t *testing.T, m *machine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shutdownPreparationTimeout)
	defer cancel()
	m.replica.PrepareShutdown(ctx)
	if ctx.Err() != nil {
		t.Errorf("%s: PrepareShutdown returned only when its context ended after %v, want it to return earlier", m.name, shutdownPreparationTimeout)
	}
}

// TestPrepareShutdown_NoReplicaLeft guards against a last leader that waits for a successor
// until its context ends. If all replicas stop at once it has none, and the time allowed for
// the stop is needed by the steps that follow.
func TestPrepareShutdown_NoReplicaLeft(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range without(machines, leader) {
		m.crash()
	}
	wantShutdownPreparationEnds(t, leader)
}

// TestPrepareShutdown_NoQuorumLeft guards against waiting for a successor without a quorum:
// three of five replicas have crashed, so the stopping leader and the remaining follower are
// not a majority.
func TestPrepareShutdown_NoQuorumLeft(t *testing.T) {
	machines := newMachines(t, 5)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range without(machines, leader)[1:] {
		m.crash()
	}
	wantShutdownPreparationEnds(t, leader)
}

// TestPrepareShutdown_VoterSlotNotOfferedWithoutReplicas guards against a stopping follower
// that keeps offering its voter slot when all other replicas have stopped, so that there is
// no leader to give the slot to the standby.
func TestPrepareShutdown_VoterSlotNotOfferedWithoutReplicas(t *testing.T) {
	seeds, standby := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	standby.start()
	remaining := without(seeds, leader)[0]
	eventually(t, "the standby is a learner", func() bool { return isLearner(remaining, standby) })
	for _, m := range append(without(seeds, remaining), standby) {
		m.crash()
	}
	wantShutdownPreparationEnds(t, remaining)
}

// TestPrepareShutdown_OneReplicaLeftLeads checks that with one of three replicas crashed, the
// remaining follower is elected with the vote of the stopping leader.
func TestPrepareShutdown_OneReplicaLeftLeads(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	followers := without(machines, leader)
	followers[0].crash()
	proposeRegistration(t, "after", leader) // gives followers[1] a longer log than the crashed one, so that the transfer targets it
	wantShutdownPreparationEnds(t, leader)
	if newLeader := leaderOf(t, leader, followers[1]); newLeader != followers[1] {
		t.Errorf("new leader is %s, want %s", newLeader.name, followers[1].name)
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
		t.Fatalf("after the transfer: context error %v, lease held %v; want nil, false", ctx.Err(), leader.replica.HoldsLease(token))
	}
	newLeader := leaderOf(t, without(machines, leader)...)
	if got := newLeader.replica.Status().Term; got <= token {
		t.Fatalf("token of the new leader: got %d, want above %d", got, token)
	}
}

// TestPrepareShutdown_StandbyTakesVoterSlot checks that with a standby, a planned stop
// immediately leaves as many voters as before.
func TestPrepareShutdown_StandbyTakesVoterSlot(t *testing.T) {
	seeds, standby := newClusterWithStandby(t)
	startAll(seeds)
	leader := leaderOf(t, seeds...)
	standby.start()
	eventually(t, "the standby is a learner", func() bool { return isLearner(leader, standby) })
	proposeRegistration(t, "before", leader)

	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	leader.replica.PrepareShutdown(ctx)
	remaining := append(without(seeds, leader), standby)
	eventually(t, "the standby has the voter slot", func() bool {
		newLeader := leaderOf(t, remaining...)
		return isVoter(newLeader, standby) && !isVoter(newLeader, leader) && len(voterIDs(newLeader)) == 3
	})
	leader.crash()
	proposeRegistration(t, "after", remaining...)
}
