package raft

import (
	"testing"
	"time"
)

func voteRequest(from ReplicaID, term uint64) Message {
	return Message{Kind: MessageVote, From: from, Term: term, Index: 100, LogTerm: 100}
}

func TestVote_PersistedBeforeResponse(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	if err := node.Step(0, Message{Kind: MessageVote, From: "b", To: "a", Term: 5, Index: 1, LogTerm: 1}); err != nil {
		t.Fatal(err)
	}
	ready := node.Ready()
	if response := requireOneMessage(t, ready.Messages, MessageVoteResponse); response.Reject || response.Term != 5 {
		t.Errorf("got response %+v, want the vote granted in term 5", response)
	}
	if !ready.MustSync || ready.HardState == nil || *ready.HardState != (HardState{Term: 5, VotedFor: "b", Commit: 1}) {
		t.Errorf("got hard state %+v with sync %v, want term 5, vote for b, commit 1 and a sync", ready.HardState, ready.MustSync)
	}
}

func TestVote_OneCandidatePerTerm(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(0, voteRequest("b", 5))
	if response := requireOneMessage(t, node.step(0, voteRequest("c", 5)), MessageVoteResponse); !response.Reject {
		t.Error("second candidate of the term: vote granted, want it rejected")
	}
	if response := requireOneMessage(t, node.step(0, voteRequest("b", 5)), MessageVoteResponse); response.Reject {
		t.Error("repeated request of the same candidate: vote rejected, want it granted")
	}
	restarted := newTestNode(t, Config{ID: "a"}, RestoredState{
		HardState: node.hardState(),
		Snapshot:  initialState("a", "b", "c").Snapshot,
	})
	if response := requireOneMessage(t, restarted.step(0, voteRequest("c", 5)), MessageVoteResponse); !response.Reject {
		t.Error("second candidate after a restart: vote granted, want it rejected")
	}
}

func TestVote_RequiresUpToDateLog(t *testing.T) {
	cases := []struct {
		name           string
		index, logTerm uint64
		granted        bool
	}{
		{"older term, longer", 9, 2, false},
		{"same term, shorter", 2, 3, false},
		{"same", 3, 3, true},
		{"newer term, shorter", 1, 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			restored := initialState("a", "b", "c")
			restored.HardState.Term = 3
			restored.Entries = []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 3}}
			node := newTestNode(t, Config{ID: "a"}, restored)
			request := Message{Kind: MessageVote, From: "b", Term: 5, Index: c.index, LogTerm: c.logTerm}
			if response := requireOneMessage(t, node.step(0, request), MessageVoteResponse); response.Reject == c.granted {
				t.Errorf("vote response: got rejected %v, want the other value", response.Reject)
			}
		})
	}
}

func TestLeaderStickiness_RejectsVotesAcrossTermChange(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	contactAt := time.Second
	node.step(contactAt, Message{Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Round: 1})
	beforeExpiry := contactAt + DefaultElectionTimeoutMin - 1
	if messages := node.step(beforeExpiry, voteRequest("c", 9)); len(messages) != 0 || node.Status().Term != 2 {
		t.Errorf("vote request during stickiness: got term %d and messages %+v, want term 2 and none", node.Status().Term, messages)
	}
	preVote := voteRequest("c", 9)
	preVote.Kind = MessagePreVote
	if response := requireOneMessage(t, node.step(beforeExpiry, preVote), MessagePreVoteResponse); !response.Reject || response.Term != 2 {
		t.Errorf("got pre-vote response %+v, want a rejection in term 2", response)
	}
	// A response of another replica raises the term; stickiness stays in force.
	node.step(beforeExpiry, Message{Kind: MessageAppendResponse, From: "c", Term: 4, Reject: true})
	if messages := node.step(beforeExpiry, voteRequest("c", 9)); len(messages) != 0 {
		t.Errorf("vote request after a change of term: got messages %+v, want none", messages)
	}
	if response := requireOneMessage(t, node.step(beforeExpiry+1, voteRequest("c", 9)), MessageVoteResponse); response.Reject {
		t.Error("vote rejected after the end of stickiness, want it granted")
	}
}

func TestVote_TransferBypassesStickinessButNotVoteDelay(t *testing.T) {
	heartbeat := Message{Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Round: 1}
	transferRequest := voteRequest("c", 3)
	transferRequest.Transfer = true

	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(time.Second, heartbeat)
	if response := requireOneMessage(t, node.step(time.Second, transferRequest), MessageVoteResponse); response.Reject {
		t.Error("vote for the target of a transfer rejected, want it granted")
	}
	restarted := newTestNode(t, Config{ID: "a", NoVoteBefore: 2 * time.Second}, initialState("a", "b", "c"))
	restarted.step(time.Second, heartbeat)
	if messages := restarted.step(time.Second, transferRequest); len(messages) != 0 || restarted.Status().Term != 2 {
		t.Errorf("restarted voter before NoVoteBefore: got messages %+v, want none and term 2", messages)
	}
}

func TestVoteDelay_ReplicaDoesNotCampaign(t *testing.T) {
	noVoteBefore := 10 * time.Second
	node := newTestNode(t, Config{ID: "a", NoVoteBefore: noVoteBefore}, initialState("a"))
	for now := time.Duration(0); now < noVoteBefore; now += DefaultTickInterval {
		node.Tick(now)
		if node.Status().Term != 1 {
			t.Fatalf("campaigned at %v, before NoVoteBefore", now)
		}
	}
	for now := noVoteBefore; now < noVoteBefore+2*DefaultElectionTimeoutMax; now += DefaultTickInterval {
		node.Tick(now)
		node.processReady()
	}
	if node.Status().Role != RoleLeader {
		t.Error("not leader after NoVoteBefore and two election timeouts")
	}
}

func TestPreVote_PartitionedReplicaKeepsTerm(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	term := leader.Status().Term
	cluster.isolate("c")
	cluster.advance(10 * time.Second)
	if got := cluster.node("c").Status().Term; got != term {
		t.Errorf("partitioned replica: got term %d, want %d", got, term)
	}
	cluster.heal()
	cluster.advance(2 * time.Second)
	if status := leader.Status(); status.Role != RoleLeader || status.Term != term {
		t.Errorf("after the partition: got leader status %+v, want the same leader and term", status)
	}
}

func TestCampaign_NonMemberNeverCampaigns(t *testing.T) {
	node := newTestNode(t, Config{ID: "new"}, RestoredState{})
	for now := time.Duration(0); now < time.Minute; now += DefaultTickInterval {
		node.Tick(now)
		if messages := node.processReady(); len(messages) != 0 {
			t.Fatalf("got messages %+v, want none", messages)
		}
	}
}

func TestCheckQuorum_LeaderWithoutQuorumStepsDown(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.isolate("a")
	cluster.advance(DefaultElectionTimeoutMax - 2*DefaultTickInterval)
	if leader.Status().Role != RoleLeader {
		t.Error("stepped down before ElectionTimeoutMax without a quorum")
	}
	cluster.advance(3 * DefaultTickInterval)
	if role := leader.Status().Role; role == RoleLeader {
		t.Error("still leader after ElectionTimeoutMax without a quorum")
	}
}

func TestElectionTimer_TimeoutsAreBoundedAndDifferByReplica(t *testing.T) {
	config := Config{ID: "a", Seed: 1}.withDefaults()
	other := config
	other.ID = "b"
	timer, otherTimer, sameSeedTimer := newElectionTimer(config), newElectionTimer(other), newElectionTimer(config)
	differ := 0
	for now := time.Duration(0); now < 100*time.Second; now += time.Second {
		timer.reset(now)
		otherTimer.reset(now)
		sameSeedTimer.reset(now)
		timeout := timer.deadline - now
		if timeout < config.ElectionTimeoutMin || timeout > config.ElectionTimeoutMax {
			t.Fatalf("got timeout %v, want one between ElectionTimeoutMin and ElectionTimeoutMax", timeout)
		}
		if sameSeedTimer.deadline != timer.deadline {
			t.Fatalf("equal seed and id: got deadlines %v and %v, want equal ones", timer.deadline, sameSeedTimer.deadline)
		}
		if otherTimer.deadline != timer.deadline {
			differ++
		}
	}
	if differ < 90 {
		t.Errorf("replicas a and b: got %d different timeouts of 100, want at least 90", differ)
	}
}
