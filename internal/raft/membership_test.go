package raft

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// withLearner adds an empty replica to a running cluster.
func withLearner(t *testing.T, cluster *testCluster, leader *testNode, id ReplicaID) Membership {
	t.Helper()
	cluster.nodes = append(cluster.nodes, newTestNode(t, Config{ID: id}, RestoredState{}))
	target := leader.Status().Membership
	target.Learners = append(target.Learners, testMember(id))
	if err := leader.ChangeMembership(cluster.now, target); err != nil {
		t.Fatal(err)
	}
	cluster.deliverAll()
	return target
}

// installSnapshots lets the new replica take the founders' first place.
func installSnapshots(cluster *testCluster, leader *testNode, id ReplicaID) {
	meta := leader.snapshot
	if node := cluster.node(id); node.ShouldInstallSnapshot(meta) {
		node.SnapshotInstalled(cluster.now, meta)
		leader.ReportSnapshot(cluster.now, id, meta.Index, true)
	}
	cluster.advance(4 * DefaultTickInterval)
}

func TestMembership_EncodingRoundTrips(t *testing.T) {
	membership := testMembership("a", "b")
	membership.Outgoing = testMembership("a").Voters
	membership.Learners = []Member{{ID: "d", Name: "n", Zone: "z", Address: "h:1"}}
	data, err := EncodeMembership(membership)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeMembership(data)
	if err != nil || !cmp.Equal(membership, decoded) {
		t.Errorf("%v: %s", err, cmp.Diff(membership, decoded))
	}
	if _, err := DecodeMembership(data[:len(data)-1]); err == nil {
		t.Error("truncated data was read")
	}
}

func TestMembershipChange_ReplacementIsJoint(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.isolate("c")
	withLearner(t, cluster, leader, "d")
	target := testMembership("a", "b", "d")
	if err := leader.ChangeMembership(cluster.now, target); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("promotion of a learner that never responded: %v", err)
	}
	cluster.advance(4 * DefaultTickInterval)
	installSnapshots(cluster, leader, "d")
	if err := leader.ChangeMembership(cluster.now, target); err != nil {
		t.Fatal(err)
	}
	joint := leader.Status()
	if len(joint.Membership.Outgoing) != 3 {
		t.Errorf("membership %+v is not joint", joint.Membership)
	}
	if joint.IsVoter("d") || joint.IsVoter("c") || !joint.IsVoter("a") {
		t.Errorf("while the change is joint d votes: %v, c: %v, a: %v", joint.IsVoter("d"), joint.IsVoter("c"), joint.IsVoter("a"))
	}
	if err := leader.ChangeMembership(cluster.now, target); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("second change: %v", err)
	}
	cluster.advance(2 * DefaultTickInterval)
	for _, id := range []ReplicaID{"a", "b", "d"} {
		if got := cluster.node(id).Status().Membership; !cmp.Equal(got, target) {
			t.Errorf("replica %s: %s", id, cmp.Diff(target, got))
		}
	}
	if committed := leader.Status(); !committed.IsVoter("d") || len(committed.FallbackMemberships) > 0 {
		t.Errorf("once the change is committed d votes: %v, fallbacks are %+v", committed.IsVoter("d"), committed.FallbackMemberships)
	}
	// The new voter completes the quorum after the loss of another.
	cluster.isolate("b")
	cluster.propose(leader, 1)
	if status := leader.Status(); status.Commit != status.LastIndex {
		t.Errorf("status %+v", status)
	}
}

// TestMembershipChange_NewVoterCountsOnceFinalCommitted: the entry that ends a joint
// membership may be lost, and with it the new voter's vote.
func TestMembershipChange_NewVoterCountsOnceFinalCommitted(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	withLearner(t, cluster, leader, "d")
	cluster.advance(4 * DefaultTickInterval)
	installSnapshots(cluster, leader, "d")
	if err := leader.ChangeMembership(cluster.now, testMembership("a", "b", "d")); err != nil {
		t.Fatal(err)
	}
	joined := leader.Status().LastIndex
	cluster.drop = func(message Message) bool {
		for _, entry := range message.Entries {
			if entry.Index > joined {
				return true
			}
		}
		return false
	}
	cluster.advance(2 * DefaultTickInterval)
	status := leader.Status()
	if len(status.Membership.Outgoing) != 0 || status.Commit != joined {
		t.Fatalf("the end of the change is not appended alone: %+v", status)
	}
	if status.IsVoter("d") || !status.IsVoter("b") {
		t.Errorf("d votes: %v, b: %v", status.IsVoter("d"), status.IsVoter("b"))
	}
}

func TestLearner_DoesNotCountTowardsQuorum(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	withLearner(t, cluster, leader, "d")
	cluster.advance(4 * DefaultTickInterval)
	installSnapshots(cluster, leader, "d")
	cluster.drop = func(message Message) bool { return message.From == "b" || message.From == "c" }
	before := leader.Status()
	cluster.propose(leader, 1)
	cluster.advance(DefaultLeaseDuration)
	status := leader.Status()
	if progressOf(t, leader, "d").Match != status.LastIndex {
		t.Error("the learner got no entries")
	}
	if status.Commit != before.Commit || status.LeaseUntil > cluster.now {
		t.Errorf("a learner counted: %+v", status)
	}
}

func TestMembershipChange_InvalidRejected(t *testing.T) {
	node := leaderOfThree(t, 10*time.Second)
	now := 10 * time.Second
	if err := node.ChangeMembership(now, testMembership("a", "b")); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("before the no-op: %v", err)
	}
	node.step(now, appendResponse("b", 2, 1))
	repeated := testMembership("a", "b", "c")
	repeated.Learners = repeated.Voters[:1]
	joint := testMembership("a", "b")
	joint.Outgoing = testMembership("a").Voters
	for name, invalid := range map[string]Membership{"no voters": {}, "repeated id": repeated, "joint": joint} {
		t.Run(name, func(t *testing.T) {
			if err := node.ChangeMembership(now, invalid); !errors.Is(err, ErrInvalidMembership) {
				t.Errorf("%+v: %v", invalid, err)
			}
		})
	}
	if err := node.ChangeMembership(now, testMembership("a", "b", "x")); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("non-member as voter: %v", err)
	}
}

func TestMembershipChange_LaggingLearnerNotPromoted(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	withLearner(t, cluster, leader, "d")
	cluster.advance(4 * DefaultTickInterval)
	installSnapshots(cluster, leader, "d")
	cluster.drop = func(message Message) bool { return message.To == "d" && len(message.Entries) > 0 }
	if _, _, err := leader.Propose(cluster.now, make([][]byte, maxPromotionLag+10)); err != nil {
		t.Fatal(err)
	}
	cluster.deliverAll()
	if err := leader.ChangeMembership(cluster.now, testMembership("a", "b", "d")); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("got %v", err)
	}
}

func TestMembership_RollsBackWithTruncation(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	data, err := EncodeMembership(testMembership("a", "b"))
	if err != nil {
		t.Fatal(err)
	}
	node.step(0, Message{
		Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Data: data}},
	})
	if got := len(node.Status().Membership.Voters); got != 2 {
		t.Fatalf("%d voters after the append", got)
	}
	node.step(0, Message{
		Kind: MessageAppend, From: "c", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: EntryNoop}},
	})
	if got := len(node.Status().Membership.Voters); got != 3 {
		t.Errorf("%d voters after the truncation", got)
	}
}

func TestMembershipChange_RemovedLeaderStepsDown(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	if err := leader.ChangeMembership(cluster.now, testMembership("b", "c")); err != nil {
		t.Fatal(err)
	}
	cluster.deliverAll()
	cluster.advance(3 * DefaultElectionTimeoutMax)
	if leader.Status().Role == RoleLeader {
		t.Error("the removed leader leads")
	}
	successor := cluster.node(cluster.node("b").Status().Leader)
	if successor == nil || successor == leader || !successor.Status().TermReady {
		t.Fatalf("successor %+v", successor)
	}
	// The removed replica cannot disturb.
	term := successor.Status().Term
	cluster.advance(5 * DefaultElectionTimeoutMax)
	if status := successor.Status(); status.Role != RoleLeader || status.Term != term {
		t.Errorf("disturbed: %+v", status)
	}
}

// TestCampaign_ReplicaRemovedByUncommittedChangeCampaigns: the loss of a disk in
// the middle of a change may leave a replica that was to be removed as the only
// one that can be elected.
func TestCampaign_ReplicaRemovedByUncommittedChangeCampaigns(t *testing.T) {
	data, err := EncodeMembership(testMembership("b", "c"))
	if err != nil {
		t.Fatal(err)
	}
	restored := initialState("a", "b", "c")
	restored.HardState.Term = 2
	restored.Entries = []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Data: data}}
	for _, committed := range []bool{false, true} {
		t.Run(fmt.Sprintf("committed %v", committed), func(t *testing.T) {
			restored := restored
			if committed {
				restored.HardState.Commit = 2
			}
			node := newTestNode(t, Config{ID: "a"}, restored)
			node.Tick(0)
			node.Tick(DefaultElectionTimeoutMax)
			campaigns := len(messagesOfKind(node.processReady(), MessagePreVote)) > 0
			if campaigns == committed {
				t.Errorf("campaigns %v", campaigns)
			}
		})
	}
}
