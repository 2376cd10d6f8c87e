package raft

import (
	"errors"
	"testing"
	"time"
)

// newLeaderOfThree returns a leader of replicas a, b and c that was elected in term 2 at
// now. The test sends the messages of b and c.
func newLeaderOfThree(t *testing.T, now time.Duration) *testNode {
	t.Helper()
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.Tick(now - 2*DefaultElectionTimeoutMax)
	node.Tick(now - 1)
	node.processReady()
	node.step(now, Message{Kind: MessagePreVoteResponse, From: "b", Term: 2})
	node.step(now, Message{Kind: MessageVoteResponse, From: "b", Term: 2})
	if status := node.Status(); status.Role != RoleLeader || status.LeaseUntil != 0 {
		t.Fatalf("got status %+v, want a leader without a lease", status)
	}
	return node
}

func appendResponse(from ReplicaID, index, round uint64) Message {
	return Message{Kind: MessageAppendResponse, From: from, Term: 2, Index: index, Round: round}
}

func TestLease_CountsFromSendTimeOfHeartbeat(t *testing.T) {
	start := 10 * time.Second
	node := newLeaderOfThree(t, start)
	node.Tick(start + 50*time.Millisecond)
	node.Tick(start + 100*time.Millisecond)
	node.processReady()
	// Round 2 was sent at 50ms; its response arrives at 130ms, after round 3.
	node.step(start+130*time.Millisecond, appendResponse("b", 1, 2))
	if got, want := node.Status().LeaseUntil, start+50*time.Millisecond+DefaultLeaseDuration; got != want {
		t.Errorf("got lease until %v, want %v", got, want)
	}
	// A response to an older round has no effect.
	node.step(start+140*time.Millisecond, appendResponse("c", 1, 1))
	if got, want := node.Status().LeaseUntil, start+50*time.Millisecond+DefaultLeaseDuration; got != want {
		t.Errorf("got lease until %v, want %v", got, want)
	}
	// A response to a round that was never sent has no effect.
	node.step(start+140*time.Millisecond, appendResponse("c", 1, 99))
	if got, want := node.Status().LeaseUntil, start+50*time.Millisecond+DefaultLeaseDuration; got != want {
		t.Errorf("got lease until %v, want %v", got, want)
	}
}

func TestLease_LeaderRejectsVotes(t *testing.T) {
	start := 10 * time.Second
	node := newLeaderOfThree(t, start)
	node.step(start, appendResponse("b", 1, 1))
	request := voteRequest("c", 7)
	request.Transfer = true
	if messages := node.step(start+DefaultLeaseDuration-1, request); len(messages) != 0 {
		t.Errorf("vote request during the lease: got messages %+v, want none", messages)
	}
	if got := requireOneMessage(t, node.step(start+DefaultLeaseDuration, request), MessageVoteResponse); got.Reject {
		t.Error("vote rejected after the end of the lease, want it granted")
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
		t.Fatal("pre-vote with one of two majorities: got another role, want pre-candidate")
	}
	node.step(now, Message{Kind: MessagePreVoteResponse, From: "d", Term: 2})
	node.step(now, Message{Kind: MessageVoteResponse, From: "b", Term: 2})
	if node.Status().Role != RoleCandidate {
		t.Fatal("vote with one of two majorities: got another role, want candidate")
	}
	node.step(now, Message{Kind: MessageVoteResponse, From: "d", Term: 2})
	node.step(now, appendResponse("d", 2, 1))
	if status := node.Status(); status.LeaseUntil != 0 || status.Commit != 1 {
		t.Fatalf("one of two majorities: got status %+v, want no lease and commit 1", status)
	}
	node.step(now, appendResponse("c", 2, 1))
	if status := node.Status(); status.LeaseUntil == 0 || status.Commit != 2 {
		t.Errorf("both majorities: got status %+v, want a lease and commit 2", status)
	}
}

func TestTransfer_RelinquishesLeaseThenStepsDown(t *testing.T) {
	start := 10 * time.Second
	node := newLeaderOfThree(t, start)
	node.step(start, appendResponse("b", 1, 1))
	if err := node.TransferLeadership(start, "b"); err != nil {
		t.Fatal(err)
	}
	if messages := node.processReady(); len(messagesOfKind(messages, MessageTimeoutNow)) != 0 {
		t.Error("got TimeoutNow to a target that lacks entries, want none")
	}
	if _, _, err := node.Propose(start, [][]byte{nil}); !errors.Is(err, ErrLeadershipTransferPending) {
		t.Errorf("proposal during a transfer: got error %v, want ErrLeadershipTransferPending", err)
	}
	messages := node.step(start+time.Millisecond, appendResponse("b", 2, 1))
	requireOneMessage(t, messages, MessageTimeoutNow)
	for at := DefaultTickInterval; at < DefaultElectionTimeoutMax; at += DefaultTickInterval {
		node.Tick(start + at)
		node.processReady()
		node.step(start+at, appendResponse("b", 2, node.leadership.lease.newestRound))
		if status := node.Status(); status.LeaseUntil != 0 || status.Role != RoleLeader {
			t.Fatalf("%v after the start of the transfer: got status %+v, want a leader without a lease", at, status)
		}
	}
	node.Tick(start + DefaultElectionTimeoutMax)
	if node.Status().Role != RoleFollower {
		t.Error("at the deadline of the transfer: got another role, want follower")
	}
}

func TestTimeoutNow_EarlierTermIgnored(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(time.Second, Message{Kind: MessageAppend, From: "b", Term: 3, Index: 1, LogTerm: 1})
	if messages := node.step(time.Second, Message{Kind: MessageTimeoutNow, From: "c", Term: 2}); len(messages) != 0 {
		t.Errorf("TimeoutNow of an earlier term: got messages %+v, want none", messages)
	}
	messages := node.step(time.Second, Message{Kind: MessageTimeoutNow, From: "b", Term: 3})
	for _, message := range messagesOfKind(messages, MessageVote) {
		if !message.Transfer || message.Term != 4 {
			t.Errorf("got vote request %+v, want one of a transfer in term 4", message)
		}
	}
	// The next campaign is an ordinary one that starts with a pre-vote.
	node.Tick(time.Second + 3*DefaultElectionTimeoutMax)
	if messages := node.processReady(); len(messagesOfKind(messages, MessageVote)) != 0 || len(messagesOfKind(messages, MessagePreVote)) != 2 {
		t.Errorf("next campaign: got messages %+v, want 2 pre-vote requests and no vote request", messages)
	}
}

func TestTransfer_TargetBecomesLeader(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.propose(leader, 3)
	if err := leader.TransferLeadership(cluster.now, "nobody"); !errors.Is(err, ErrUnknownReplica) {
		t.Errorf("unknown target: got error %v, want ErrUnknownReplica", err)
	}
	if err := leader.TransferLeadership(cluster.now, ""); err != nil {
		t.Fatal(err)
	}
	cluster.deliverAll()
	if leader.Status().Role == RoleLeader || leader.Status().Leader == "" {
		t.Errorf("after the transfer: got status %+v, want a follower of another leader", leader.Status())
	}
}

func TestReadIndex_WaitsForNoopAndHeartbeatQuorum(t *testing.T) {
	start := 10 * time.Second
	node := newLeaderOfThree(t, start)
	if err := node.ReadIndex(start, 1); err != nil {
		t.Fatal(err)
	}
	// The response to round 1 gives a lease, but does not commit the no-op.
	node.step(start, appendResponse("b", 1, 1))
	if len(node.reads) != 0 {
		t.Fatalf("before the commit of the no-op: got reads %+v, want none", node.reads)
	}
	node.step(start, appendResponse("b", 2, 1))
	if len(node.reads) != 1 || node.reads[0] != (ReadState{Request: 1, Index: 2}) {
		t.Fatalf("after the commit of the no-op: got reads %+v, want request 1 at index 2", node.reads)
	}
	// After the end of the lease the read needs a new round.
	leaseEnd := start + DefaultLeaseDuration
	if err := node.ReadIndex(leaseEnd, 2); err != nil {
		t.Fatal(err)
	}
	node.processReady()
	node.step(leaseEnd, appendResponse("c", 2, 1))
	if len(node.reads) != 1 {
		t.Fatalf("after the response to an old round: got reads %+v, want only request 1", node.reads)
	}
	node.step(leaseEnd, appendResponse("c", 2, 2))
	if len(node.reads) != 2 || node.reads[1] != (ReadState{Request: 2, Index: 2}) {
		t.Errorf("after the response to the new round: got reads %+v, want request 2 at index 2 as the second", node.reads)
	}
	follower := newTestNode(t, Config{ID: "b"}, initialState("a", "b", "c"))
	if err := follower.ReadIndex(0, 1); !errors.Is(err, ErrNotLeader) {
		t.Errorf("read on a follower: got error %v, want ErrNotLeader", err)
	}
}

// TestReadIndex_EarlierHeartbeatDoesNotConfirm guards against stale reads: the
// acknowledgement of a heartbeat that was sent before the request does not show
// that this node was still leader when the request arrived.
func TestReadIndex_EarlierHeartbeatDoesNotConfirm(t *testing.T) {
	start := 10 * time.Second
	node := newLeaderOfThree(t, start)
	node.step(start, appendResponse("b", 2, 1))
	expired := start + DefaultLeaseDuration
	node.Tick(expired) // sends round 2
	node.processReady()
	if err := node.ReadIndex(expired+minReadHeartbeatInterval/2, 1); err != nil {
		t.Fatal(err)
	}
	node.step(expired+minReadHeartbeatInterval, appendResponse("c", 2, 2))
	if len(node.reads) != 0 {
		t.Fatalf("after the response to round 2, sent before the request: got reads %+v, want none", node.reads)
	}
	node.Tick(expired + DefaultTickInterval) // sends round 3
	node.processReady()
	node.step(expired+DefaultTickInterval, appendResponse("c", 2, 3))
	if len(node.reads) != 1 || node.reads[0] != (ReadState{Request: 1, Index: 2}) {
		t.Errorf("after the response to round 3: got reads %+v, want request 1 at index 2", node.reads)
	}
}

func TestLease_UnconfirmedRoundsAreBounded(t *testing.T) {
	l := lease{duration: DefaultLeaseDuration}
	for i := range 2 * maxUnconfirmedRounds {
		l.startRound(time.Duration(i) * DefaultTickInterval)
	}
	if len(l.unconfirmed) != maxUnconfirmedRounds || l.newestRound != 2*maxUnconfirmedRounds {
		t.Fatalf("got %d unconfirmed rounds after %d rounds, want maxUnconfirmedRounds", len(l.unconfirmed), l.newestRound)
	}
	// A round whose send time was dropped is confirmed, but does not extend the lease.
	if !l.confirm(1) || l.until != 0 {
		t.Errorf("got lease until %v after a dropped round, want 0 and a confirmed round", l.until)
	}
	if !l.confirm(l.newestRound) || l.until != (2*maxUnconfirmedRounds-1)*DefaultTickInterval+DefaultLeaseDuration {
		t.Errorf("got lease until %v after the newest round, want its send time plus the duration", l.until)
	}
	if l.confirm(l.newestRound) || l.lastHeartbeatAt() != l.until-l.duration {
		t.Errorf("got last heartbeat at %v and lease until %v, want a difference of the lease duration", l.lastHeartbeatAt(), l.until)
	}
}
