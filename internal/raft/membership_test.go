package raft

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// addLearner adds an empty replica to a running cluster as a learner. It returns
// the proposed membership.
func addLearner(t *testing.T, cluster *testCluster, leader *testNode, id ReplicaID) Membership {
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

// installLeaderSnapshot installs the leader's snapshot on a new replica, whose log
// is empty, reports the transfer to the leader, and advances four ticks.
func installLeaderSnapshot(cluster *testCluster, leader *testNode, id ReplicaID) {
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
		t.Errorf("decoded membership differs, error %v: %s", err, cmp.Diff(membership, decoded))
	}
	if _, err := DecodeMembership(data[:len(data)-1]); err == nil {
		t.Error("truncated data was decoded without an error")
	}
}

func TestMembershipChange_ReplacementUsesJointMembership(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.isolate("c")
	addLearner(t, cluster, leader, "d")
	target := testMembership("a", "b", "d")
	if err := leader.ChangeMembership(cluster.now, target); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("promotion of a learner that never responded: got error %v, want ErrNotCaughtUp", err)
	}
	cluster.advance(4 * DefaultTickInterval)
	installLeaderSnapshot(cluster, leader, "d")
	if err := leader.ChangeMembership(cluster.now, target); err != nil {
		t.Fatal(err)
	}
	joint := leader.Status()
	if len(joint.Membership.Outgoing) != 3 {
		t.Errorf("got membership %+v, want a joint one with 3 outgoing voters", joint.Membership)
	}
	if joint.IsVoter("d") || joint.IsVoter("c") || !joint.IsVoter("a") {
		t.Errorf("during the joint membership got IsVoter d %v, c %v, a %v, want false, false, true",
			joint.IsVoter("d"), joint.IsVoter("c"), joint.IsVoter("a"))
	}
	if err := leader.ChangeMembership(cluster.now, target); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("second change: got error %v, want ErrMembershipChangePending", err)
	}
	cluster.advance(2 * DefaultTickInterval)
	for _, id := range []ReplicaID{"a", "b", "d"} {
		if got := cluster.node(id).Status().Membership; !cmp.Equal(got, target) {
			t.Errorf("replica %s: membership differs: %s", id, cmp.Diff(target, got))
		}
	}
	if committed := leader.Status(); !committed.IsVoter("d") || len(committed.FallbackMemberships) > 0 {
		t.Errorf("after the commit of the change got IsVoter d %v and fallbacks %+v, want true and none",
			committed.IsVoter("d"), committed.FallbackMemberships)
	}
	// With b isolated the new voter d completes the quorum of a and d.
	cluster.isolate("b")
	cluster.propose(leader, 1)
	if status := leader.Status(); status.Commit != status.LastIndex {
		t.Errorf("got status %+v, want the commit index at the last index", status)
	}
}

// TestMembershipChange_NewVoterCountsOnceFinalEntryCommitted guards against a leader that
// reports a new voter before the entry that ends the joint membership is
// committed. That entry can still be truncated, and the new voter's vote with it.
func TestMembershipChange_NewVoterCountsOnceFinalEntryCommitted(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	addLearner(t, cluster, leader, "d")
	cluster.advance(4 * DefaultTickInterval)
	installLeaderSnapshot(cluster, leader, "d")
	if err := leader.ChangeMembership(cluster.now, testMembership("a", "b", "d")); err != nil {
		t.Fatal(err)
	}
	jointIndex := leader.Status().LastIndex
	cluster.drop = func(message Message) bool {
		for _, entry := range message.Entries {
			if entry.Index > jointIndex {
				return true
			}
		}
		return false
	}
	cluster.advance(2 * DefaultTickInterval)
	status := leader.Status()
	if len(status.Membership.Outgoing) != 0 || status.Commit != jointIndex {
		t.Fatalf("got status %+v, want the final membership appended but not committed", status)
	}
	if status.IsVoter("d") || !status.IsVoter("b") {
		t.Errorf("got IsVoter d %v, b %v, want false, true", status.IsVoter("d"), status.IsVoter("b"))
	}
}

func TestLearner_DoesNotCountTowardsQuorum(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	addLearner(t, cluster, leader, "d")
	cluster.advance(4 * DefaultTickInterval)
	installLeaderSnapshot(cluster, leader, "d")
	cluster.drop = func(message Message) bool { return message.From == "b" || message.From == "c" }
	statusBefore := leader.Status()
	cluster.propose(leader, 1)
	cluster.advance(DefaultLeaseDuration)
	status := leader.Status()
	if progressOf(t, leader, "d").Match != status.LastIndex {
		t.Error("the learner did not receive every entry")
	}
	if status.Commit != statusBefore.Commit || status.LeaseUntil > cluster.now {
		t.Errorf("the learner counted towards a commit or a lease: %+v", status)
	}
}

func TestMembershipChange_InvalidRejected(t *testing.T) {
	node := newLeaderOfThree(t, 10*time.Second)
	now := 10 * time.Second
	if err := node.ChangeMembership(now, testMembership("a", "b")); !errors.Is(err, ErrMembershipChangePending) {
		t.Errorf("before the commit of the no-op: got error %v, want ErrMembershipChangePending", err)
	}
	node.step(now, appendResponse("b", 2, 1))
	repeated := testMembership("a", "b", "c")
	repeated.Learners = repeated.Voters[:1]
	joint := testMembership("a", "b")
	joint.Outgoing = testMembership("a").Voters
	for name, invalid := range map[string]Membership{"no voters": {}, "repeated id": repeated, "joint": joint} {
		t.Run(name, func(t *testing.T) {
			if err := node.ChangeMembership(now, invalid); !errors.Is(err, ErrInvalidMembership) {
				t.Errorf("%+v: got error %v, want ErrInvalidMembership", invalid, err)
			}
		})
	}
	if err := node.ChangeMembership(now, testMembership("a", "b", "x")); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("non-member as voter: got error %v, want ErrNotCaughtUp", err)
	}
}

func TestMembershipChange_LaggingLearnerNotPromoted(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	addLearner(t, cluster, leader, "d")
	cluster.advance(4 * DefaultTickInterval)
	installLeaderSnapshot(cluster, leader, "d")
	cluster.drop = func(message Message) bool { return message.To == "d" && len(message.Entries) > 0 }
	if _, _, err := leader.Propose(cluster.now, make([][]byte, maxPromotionLag+10)); err != nil {
		t.Fatal(err)
	}
	cluster.deliverAll()
	if err := leader.ChangeMembership(cluster.now, testMembership("a", "b", "d")); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("got error %v, want ErrNotCaughtUp", err)
	}
}

func TestMembership_TruncationRestoresPreviousMembership(t *testing.T) {
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
		t.Fatalf("got %d voters after the append, want 2", got)
	}
	node.step(0, Message{
		Kind: MessageAppend, From: "c", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: EntryNoop}},
	})
	if got := len(node.Status().Membership.Voters); got != 3 {
		t.Errorf("got %d voters after the truncation, want 3", got)
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
		t.Error("the removed leader is still the leader")
	}
	successor := cluster.node(cluster.node("b").Status().Leader)
	if successor == nil || successor == leader || !successor.Status().TermReady {
		t.Fatalf("got successor %+v, want another leader that committed an entry of its term", successor)
	}
	// The removed replica cannot force an election.
	term := successor.Status().Term
	cluster.advance(5 * DefaultElectionTimeoutMax)
	if status := successor.Status(); status.Role != RoleLeader || status.Term != term {
		t.Errorf("the removed replica disrupted the leader: %+v", status)
	}
}

// TestCampaign_ReplicaRemovedByUncommittedChangeCampaigns guards against a cluster
// without an electable replica: if a disk is lost during a change, a replica that
// the uncommitted change removes may be the only one that can win an election.
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
				t.Errorf("got campaigning %v, want true only while the removal is uncommitted", campaigns)
			}
		})
	}
}
