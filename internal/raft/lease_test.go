package raft

import (
	"errors"
	"testing"
	"time"
)

// leaderOfThree is a leader whose peers are played by the test.
func leaderOfThree(t *testing.T, now time.Duration) *testNode {
	t.Helper()
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.Tick(now - 2*DefaultElectionTimeoutMax)
	node.Tick(now - 1)
	node.processReady()
	node.step(now, Message{Kind: MessagePreVoteResponse, From: "b", Term: 2})
	node.step(now, Message{Kind: MessageVoteResponse, From: "b", Term: 2})
	if status := node.Status(); status.Role != RoleLeader || status.LeaseUntil != 0 {
		t.Fatalf("status %+v", status)
	}
	return node
}

func appendResponse(from ReplicaID, index, round uint64) Message {
	return Message{Kind: MessageAppendResponse, From: from, Term: 2, Index: index, Round: round}
}

func TestLease_CountsFromSendTimeOfHeartbeat(t *testing.T) {
	start := 10 * time.Second
	node := leaderOfThree(t, start)
	node.Tick(start + 50*time.Millisecond)
	node.Tick(start + 100*time.Millisecond)
	node.processReady()
	// Round 2 was sent at 50ms; the response comes late.
	node.step(start+130*time.Millisecond, appendResponse("b", 1, 2))
	if got, want := node.Status().LeaseUntil, start+50*time.Millisecond+DefaultLeaseDuration; got != want {
		t.Errorf("lease until %v, want %v", got, want)
	}
	// An older round that comes later changes nothing.
	node.step(start+140*time.Millisecond, appendResponse("c", 1, 1))
	if got, want := node.Status().LeaseUntil, start+50*time.Millisecond+DefaultLeaseDuration; got != want {
		t.Errorf("lease until %v, want %v", got, want)
	}
	// A round that was never sent does not count.
	node.step(start+140*time.Millisecond, appendResponse("c", 1, 99))
	if got, want := node.Status().LeaseUntil, start+50*time.Millisecond+DefaultLeaseDuration; got != want {
		t.Errorf("lease until %v, want %v", got, want)
	}
}

func TestLease_LeaderRejectsVotes(t *testing.T) {
	start := 10 * time.Second
	node := leaderOfThree(t, start)
	node.step(start, appendResponse("b", 1, 1))
	request := voteRequest("c", 7)
	request.Transfer = true
	if messages := node.step(start+DefaultLeaseDuration-1, request); len(messages) != 0 {
		t.Errorf("answered %+v", messages)
	}
	if got := requireOneMessage(t, node.step(start+DefaultLeaseDuration, request), MessageVoteResponse); got.Reject {
		t.Error("rejected without a lease")
	}
}

func TestLease_JointMembershipNeedsBothMajorities(t *testing.T) {
	start := 10 * time.Second
	restored := initialState("a", "d", "e")
	restored.Snapshot.Membership.Outgoing = testMembership("a", "b", "c").Voters
	node := newTestNode(t, Config{ID: "a"}, restored)
	node.Tick(start)
	node.Tick(start + DefaultElectionTimeoutMax)
	now := start + DefaultElectionTimeoutMax
	node.step(now, Message{Kind: MessagePreVoteResponse, From: "b", Term: 2})
	if node.Status().Role != RolePreCandidate {
		t.Fatal("one majority sufficed for the pre-vote")
	}
	node.step(now, Message{Kind: MessagePreVoteResponse, From: "d", Term: 2})
	node.step(now, Message{Kind: MessageVoteResponse, From: "b", Term: 2})
	if node.Status().Role != RoleCandidate {
		t.Fatal("one majority sufficed for the vote")
	}
	node.step(now, Message{Kind: MessageVoteResponse, From: "d", Term: 2})
	node.step(now, appendResponse("d", 2, 1))
	if status := node.Status(); status.LeaseUntil != 0 || status.Commit != 1 {
		t.Fatalf("one majority sufficed: %+v", status)
	}
	node.step(now, appendResponse("c", 2, 1))
	if status := node.Status(); status.LeaseUntil == 0 || status.Commit != 2 {
		t.Errorf("both majorities did not suffice: %+v", status)
	}
}

func TestTransfer_RelinquishesLeaseThenStepsDown(t *testing.T) {
	start := 10 * time.Second
	node := leaderOfThree(t, start)
	node.step(start, appendResponse("b", 1, 1))
	if err := node.TransferLeadership(start, "b"); err != nil {
		t.Fatal(err)
	}
	if messages := node.processReady(); len(messagesOfKind(messages, MessageTimeoutNow)) != 0 {
		t.Error("TimeoutNow to a target that lacks entries")
	}
	if _, _, err := node.Propose(start, [][]byte{nil}); !errors.Is(err, ErrLeadershipTransferPending) {
		t.Errorf("propose: %v", err)
	}
	messages := node.step(start+time.Millisecond, appendResponse("b", 2, 1))
	requireOneMessage(t, messages, MessageTimeoutNow)
	for at := DefaultTickInterval; at < DefaultElectionTimeoutMax; at += DefaultTickInterval {
		node.Tick(start + at)
		node.processReady()
		node.step(start+at, appendResponse("b", 2, node.leadership.lease.newestRound))
		if status := node.Status(); status.LeaseUntil != 0 || status.Role != RoleLeader {
			t.Fatalf("at %v: %+v", at, status)
		}
	}
	node.Tick(start + DefaultElectionTimeoutMax)
	if node.Status().Role != RoleFollower {
		t.Error("did not step down")
	}
}

func TestTimeoutNow_EarlierTermIgnored(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(time.Second, Message{Kind: MessageAppend, From: "b", Term: 3, Index: 1, LogTerm: 1})
	if messages := node.step(time.Second, Message{Kind: MessageTimeoutNow, From: "c", Term: 2}); len(messages) != 0 {
		t.Errorf("sent %+v", messages)
	}
	messages := node.step(time.Second, Message{Kind: MessageTimeoutNow, From: "b", Term: 3})
	for _, message := range messagesOfKind(messages, MessageVote) {
		if !message.Transfer || message.Term != 4 {
			t.Errorf("vote %+v", message)
		}
	}
	// The next attempt is an ordinary one.
	node.Tick(time.Second + 3*DefaultElectionTimeoutMax)
	if messages := node.processReady(); len(messagesOfKind(messages, MessageVote)) != 0 || len(messagesOfKind(messages, MessagePreVote)) != 2 {
		t.Errorf("sent %+v", messages)
	}
}

func TestTransfer_TargetBecomesLeader(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.propose(leader, 3)
	if err := leader.TransferLeadership(cluster.now, "nobody"); !errors.Is(err, ErrUnknownReplica) {
		t.Errorf("unknown target: %v", err)
	}
	if err := leader.TransferLeadership(cluster.now, ""); err != nil {
		t.Fatal(err)
	}
	cluster.deliverAll()
	if leader.Status().Role == RoleLeader || leader.Status().Leader == "" {
		t.Errorf("status %+v", leader.Status())
	}
}

func TestReadIndex_WaitsForNoopAndHeartbeatQuorum(t *testing.T) {
	start := 10 * time.Second
	node := leaderOfThree(t, start)
	if err := node.ReadIndex(start, 1); err != nil {
		t.Fatal(err)
	}
	// Round 1 gives a lease; the no-op is not committed.
	node.step(start, appendResponse("b", 1, 1))
	if len(node.reads) != 0 {
		t.Fatalf("read before the no-op: %+v", node.reads)
	}
	node.step(start, appendResponse("b", 2, 1))
	if len(node.reads) != 1 || node.reads[0] != (ReadState{Request: 1, Index: 2}) {
		t.Fatalf("reads %+v", node.reads)
	}
	// Without a lease a new round is needed.
	late := start + DefaultLeaseDuration
	if err := node.ReadIndex(late, 2); err != nil {
		t.Fatal(err)
	}
	node.processReady()
	node.step(late, appendResponse("c", 2, 1))
	if len(node.reads) != 1 {
		t.Fatalf("an old round confirmed the read: %+v", node.reads)
	}
	node.step(late, appendResponse("c", 2, 2))
	if len(node.reads) != 2 || node.reads[1] != (ReadState{Request: 2, Index: 2}) {
		t.Errorf("reads %+v", node.reads)
	}
	follower := newTestNode(t, Config{ID: "b"}, initialState("a", "b", "c"))
	if err := follower.ReadIndex(0, 1); !errors.Is(err, ErrNotLeader) {
		t.Errorf("read on a follower: %v", err)
	}
}

// TestReadIndex_EarlierHeartbeatDoesNotConfirm: a quorum's answer to a heartbeat
// from before the request does not show that this node still leads after it.
func TestReadIndex_EarlierHeartbeatDoesNotConfirm(t *testing.T) {
	start := 10 * time.Second
	node := leaderOfThree(t, start)
	node.step(start, appendResponse("b", 2, 1))
	expired := start + DefaultLeaseDuration
	node.Tick(expired) // sends round 2
	node.processReady()
	if err := node.ReadIndex(expired+minReadHeartbeatInterval/2, 1); err != nil {
		t.Fatal(err)
	}
	node.step(expired+minReadHeartbeatInterval, appendResponse("c", 2, 2))
	if len(node.reads) != 0 {
		t.Fatalf("round 2, sent before the request, confirmed %+v", node.reads)
	}
	node.Tick(expired + DefaultTickInterval) // sends round 3
	node.processReady()
	node.step(expired+DefaultTickInterval, appendResponse("c", 2, 3))
	if len(node.reads) != 1 || node.reads[0] != (ReadState{Request: 1, Index: 2}) {
		t.Errorf("reads %+v", node.reads)
	}
}

func TestLease_UnconfirmedRoundsAreBounded(t *testing.T) {
	l := lease{duration: DefaultLeaseDuration}
	for i := range 2 * maxUnconfirmedRounds {
		l.startRound(time.Duration(i) * DefaultTickInterval)
	}
	if len(l.unconfirmed) != maxUnconfirmedRounds || l.newestRound != 2*maxUnconfirmedRounds {
		t.Fatalf("%d rounds are remembered of %d", len(l.unconfirmed), l.newestRound)
	}
	// A round that is no longer remembered confirms, but extends nothing.
	if !l.confirm(1) || l.until != 0 {
		t.Errorf("until %v after a forgotten round", l.until)
	}
	if !l.confirm(l.newestRound) || l.until != (2*maxUnconfirmedRounds-1)*DefaultTickInterval+DefaultLeaseDuration {
		t.Errorf("until %v after the newest round", l.until)
	}
	if l.confirm(l.newestRound) || l.lastHeartbeatAt() != l.until-l.duration {
		t.Errorf("last heartbeat at %v, lease until %v", l.lastHeartbeatAt(), l.until)
	}
}
