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
		t.Errorf("response %+v, want a grant in term 5", response)
	}
	if !ready.MustSync || ready.HardState == nil || *ready.HardState != (HardState{Term: 5, VotedFor: "b", Commit: 1}) {
		t.Errorf("hard state %+v, sync %v", ready.HardState, ready.MustSync)
	}
}

func TestVote_OneCandidatePerTerm(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(0, voteRequest("b", 5))
	if response := requireOneMessage(t, node.step(0, voteRequest("c", 5)), MessageVoteResponse); !response.Reject {
		t.Error("second candidate of the term got the vote")
	}
	if response := requireOneMessage(t, node.step(0, voteRequest("b", 5)), MessageVoteResponse); response.Reject {
		t.Error("the repeated request was rejected")
	}
	restarted := newTestNode(t, Config{ID: "a"}, RestoredState{
		HardState: node.hardState(),
		Snapshot:  initialState("a", "b", "c").Snapshot,
	})
	if response := requireOneMessage(t, restarted.step(0, voteRequest("c", 5)), MessageVoteResponse); !response.Reject {
		t.Error("a restart forgot the vote")
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
				t.Errorf("rejected: %v", response.Reject)
			}
		})
	}
}

func TestLeaderStickiness_KeepsTermAndOutlivesIt(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	contact := time.Second
	node.step(contact, Message{Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Round: 1})
	early := contact + DefaultElectionTimeoutMin - 1
	if messages := node.step(early, voteRequest("c", 9)); len(messages) != 0 || node.Status().Term != 2 {
		t.Errorf("term %d, messages %+v", node.Status().Term, messages)
	}
	preVote := voteRequest("c", 9)
	preVote.Kind = MessagePreVote
	if response := requireOneMessage(t, node.step(early, preVote), MessagePreVoteResponse); !response.Reject || response.Term != 2 {
		t.Errorf("pre-vote response %+v", response)
	}
	// The term rises through another's response; the stickiness still holds.
	node.step(early, Message{Kind: MessageAppendResponse, From: "c", Term: 4, Reject: true})
	if messages := node.step(early, voteRequest("c", 9)); len(messages) != 0 {
		t.Errorf("a new term ended the stickiness: %+v", messages)
	}
	if response := requireOneMessage(t, node.step(early+1, voteRequest("c", 9)), MessageVoteResponse); response.Reject {
		t.Error("vote rejected after the stickiness")
	}
}

func TestVote_TransferBypassesStickinessButNotVoteDelay(t *testing.T) {
	heartbeat := Message{Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Round: 1}
	transfer := voteRequest("c", 3)
	transfer.Transfer = true

	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(time.Second, heartbeat)
	if response := requireOneMessage(t, node.step(time.Second, transfer), MessageVoteResponse); response.Reject {
		t.Error("transfer vote rejected")
	}
	restarted := newTestNode(t, Config{ID: "a", NoVoteBefore: 2 * time.Second}, initialState("a", "b", "c"))
	restarted.step(time.Second, heartbeat)
	if messages := restarted.step(time.Second, transfer); len(messages) != 0 || restarted.Status().Term != 2 {
		t.Errorf("a restarted voter responded %+v", messages)
	}
}

func TestVoteDelay_ReplicaNeitherVotesNorCampaigns(t *testing.T) {
	noVoteBefore := 10 * time.Second
	node := newTestNode(t, Config{ID: "a", NoVoteBefore: noVoteBefore}, initialState("a"))
	for now := time.Duration(0); now < noVoteBefore; now += DefaultTickInterval {
		node.Tick(now)
		if node.Status().Term != 1 {
			t.Fatalf("campaigned at %v", now)
		}
	}
	for now := noVoteBefore; now < noVoteBefore+2*DefaultElectionTimeoutMax; now += DefaultTickInterval {
		node.Tick(now)
		node.processReady()
	}
	if node.Status().Role != RoleLeader {
		t.Error("never campaigned")
	}
}

func TestPreVote_PartitionedReplicaKeepsTerm(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	term := leader.Status().Term
	cluster.isolate("c")
	cluster.advance(10 * time.Second)
	if got := cluster.node("c").Status().Term; got != term {
		t.Errorf("term %d of the partitioned replica, want %d", got, term)
	}
	cluster.heal()
	cluster.advance(2 * time.Second)
	if status := leader.Status(); status.Role != RoleLeader || status.Term != term {
		t.Errorf("the return disturbed the leader: %+v", status)
	}
}

func TestCampaign_NonMemberNeverCampaigns(t *testing.T) {
	node := newTestNode(t, Config{ID: "new"}, RestoredState{})
	for now := time.Duration(0); now < time.Minute; now += DefaultTickInterval {
		node.Tick(now)
		if messages := node.processReady(); len(messages) != 0 {
			t.Fatalf("sent %+v", messages)
		}
	}
}

func TestCheckQuorum_LeaderWithoutQuorumStepsDown(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.isolate("a")
	cluster.advance(DefaultElectionTimeoutMax - 2*DefaultTickInterval)
	if leader.Status().Role != RoleLeader {
		t.Error("stepped down early")
	}
	cluster.advance(3 * DefaultTickInterval)
	if role := leader.Status().Role; role == RoleLeader {
		t.Error("still leads without a quorum")
	}
}

func TestElectionTimer_TimeoutsAreBoundedAndDifferByReplica(t *testing.T) {
	config := Config{ID: "a", Seed: 1}.withDefaults()
	other := config
	other.ID = "b"
	timer, otherTimer, same := newElectionTimer(config), newElectionTimer(other), newElectionTimer(config)
	differ := 0
	for now := time.Duration(0); now < 100*time.Second; now += time.Second {
		timer.reset(now)
		otherTimer.reset(now)
		same.reset(now)
		timeout := timer.deadline - now
		if timeout < config.ElectionTimeoutMin || timeout > config.ElectionTimeoutMax {
			t.Fatalf("timeout %v", timeout)
		}
		if same.deadline != timer.deadline {
			t.Fatalf("one seed gave %v and %v", timer.deadline, same.deadline)
		}
		if otherTimer.deadline != timer.deadline {
			differ++
		}
	}
	if differ < 90 {
		t.Errorf("only %d of 100 timeouts of two replicas differ", differ)
	}
}
