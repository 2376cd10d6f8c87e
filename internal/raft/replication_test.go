package raft

import (
	"bytes"
	"slices"
	"testing"
	"time"
)

func TestCommit_OnlyEntriesOfCurrentTermCounted(t *testing.T) {
	restored := initialState("a", "b", "c")
	restored.HardState.Term = 1
	restored.Entries = []Entry{{Index: 2, Term: 1}}
	node := newTestNode(t, Config{ID: "a"}, restored)
	node.Tick(0)
	node.Tick(DefaultElectionTimeoutMax)
	node.processReady()
	now := DefaultElectionTimeoutMax
	node.step(now, Message{Kind: MessagePreVoteResponse, From: "b", Term: 2})
	node.step(now, Message{Kind: MessageVoteResponse, From: "b", Term: 2})
	node.step(now, appendResponse("b", 2, 1))
	if status := node.Status(); status.Commit != 1 || status.TermReady {
		t.Fatalf("quorum for an entry of an earlier term: got status %+v, want commit 1 and TermReady false", status)
	}
	node.step(now, appendResponse("b", 3, 1))
	if status := node.Status(); status.Commit != 3 || !status.TermReady {
		t.Errorf("quorum for an entry of this term: got status %+v, want commit 3 and TermReady true", status)
	}
}

func TestCommit_LeaderCountsOwnEntriesOncePersisted(t *testing.T) {
	start := 10 * time.Second
	node := newLeaderOfThree(t, start)
	index, _, err := node.Propose(start, [][]byte{nil})
	if err != nil {
		t.Fatal(err)
	}
	ready := node.Ready()
	if err := node.Step(start, Message{Kind: MessageAppendResponse, From: "b", To: "a", Term: 2, Index: index}); err != nil {
		t.Fatal(err)
	}
	if commit := node.Status().Commit; commit >= index {
		t.Fatalf("before the leader persisted the entry: got commit %d, want one below its index", commit)
	}
	node.Advance(ready)
	if commit := node.Status().Commit; commit != index {
		t.Errorf("got commit %d, want %d", commit, index)
	}
}

// TestAdvance_AfterTruncationKeepsReplacedEntriesUnstable: if entries are truncated
// while the owner writes them, Advance must not mark the entries that replace them
// as persisted.
func TestAdvance_AfterTruncationKeepsReplacedEntriesUnstable(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	newAppend := func(from ReplicaID, term uint64, entries ...Entry) Message {
		return Message{Kind: MessageAppend, From: from, To: "a", Term: term, Index: 1, LogTerm: 1, Entries: entries}
	}
	old := []Entry{{Index: 2, Term: 2, Data: []byte("old")}, {Index: 3, Term: 2}}
	if err := node.Step(0, newAppend("b", 2, old...)); err != nil {
		t.Fatal(err)
	}
	ready := node.Ready()
	if err := node.Step(0, newAppend("c", 3, Entry{Index: 2, Term: 3, Data: []byte("new")})); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(ready.Entries[0].Data, []byte("old")) {
		t.Error("entries of a Ready in progress were overwritten by the truncation")
	}
	node.Advance(ready)
	next := node.Ready()
	if len(next.Entries) != 1 || next.Entries[0].Term != 3 || !next.MustSync {
		t.Errorf("got next entries %+v with sync %v, want the entry of term 3 and a sync", next.Entries, next.MustSync)
	}
}

func TestAppend_CommittedEntryNeverReplaced(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(0, Message{
		Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Commit: 2,
		Entries: []Entry{{Index: 2, Term: 2}},
	})
	overlapping := Message{
		Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Commit: 3,
		Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
	}
	if got := requireOneMessage(t, node.step(0, overlapping), MessageAppendResponse); got.Reject || got.Index != 3 {
		t.Errorf("got response %+v, want index 3 accepted", got)
	}
	if len(node.applied) != 2 || node.Status().Commit != 3 {
		t.Errorf("got applied entries %+v, want 2 of them and commit 3", node.applied)
	}
}

func TestAppendRejection_BacktracksByTerm(t *testing.T) {
	const length = 500
	ids := []ReplicaID{"a", "b", "c"}
	cluster := newTestCluster(t, ids...)
	leaderLog, followerLog := initialState(ids...), initialState(ids...)
	for index := uint64(2); index < length; index++ {
		leaderLog.Entries = append(leaderLog.Entries, Entry{Index: index, Term: 5})
		followerLog.Entries = append(followerLog.Entries, Entry{Index: index, Term: 3})
	}
	leaderLog.HardState.Term, followerLog.HardState.Term = 5, 5
	cluster.nodes[0] = newTestNode(t, Config{ID: "a"}, leaderLog)
	cluster.nodes[1] = newTestNode(t, Config{ID: "b"}, followerLog)
	rejections := 0
	cluster.drop = func(message Message) bool {
		if message.Kind == MessageAppendResponse && message.Reject && message.From == "b" {
			rejections++
		}
		return false
	}
	leader := cluster.elect("a")
	if rejections == 0 || rejections > 2 {
		t.Errorf("got %d rejections, want 1 or 2", rejections)
	}
	if match := progressOf(t, leader, "b").Match; match != leader.Status().LastIndex {
		t.Errorf("got match index %d, want the last index of the leader", match)
	}
	if !slices.EqualFunc(cluster.nodes[1].log.entries, leader.log.entries, func(a, b Entry) bool { return a.Term == b.Term }) {
		t.Error("terms in the logs of leader and follower differ")
	}
}

func progressOf(t *testing.T, leader *testNode, id ReplicaID) Progress {
	t.Helper()
	for _, progress := range leader.Status().Progress {
		if progress.ID == id {
			return progress
		}
	}
	t.Fatalf("leader has no progress of replica %s", id)
	return Progress{}
}

func TestAppend_BoundedAndPipelined(t *testing.T) {
	start := 10 * time.Second
	node := newTestNode(t, Config{ID: "a", MaxAppendBytes: 300, MaxInflightAppends: 3}, initialState("a", "b"))
	node.Tick(start - DefaultElectionTimeoutMax)
	node.Tick(start)
	node.processReady()
	node.step(start, Message{Kind: MessagePreVoteResponse, From: "b", Term: 2})
	node.step(start, Message{Kind: MessageVoteResponse, From: "b", Term: 2})
	node.step(start, appendResponse("b", 2, 1))
	commands := make([][]byte, 20)
	for i := range commands {
		commands[i] = make([]byte, 100)
	}
	if _, _, err := node.Propose(start, commands); err != nil {
		t.Fatal(err)
	}
	appends := messagesOfKind(node.processReady(), MessageAppend)
	if len(appends) != 3 {
		t.Fatalf("got %d appends in flight, want 3", len(appends))
	}
	for i, message := range appends {
		if len(message.Entries) != 2 || message.Index != uint64(2+2*i) {
			t.Errorf("append %d: got %d entries after index %d, want 2 entries each, from index 2 on", i, len(message.Entries), message.Index)
		}
	}
	// One response makes room for one further append.
	if more := messagesOfKind(node.step(start, appendResponse("b", 4, 1)), MessageAppend); len(more) != 1 || more[0].Index != 8 {
		t.Errorf("after a response: got appends %+v, want one after index 8", more)
	}
}

func TestAppend_LostAppendResent(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader := cluster.elect("a")
	cluster.drop = func(message Message) bool { return len(message.Entries) > 0 }
	cluster.propose(leader, 5)
	cluster.heal()
	cluster.advance(2 * DefaultTickInterval)
	if status := leader.Status(); status.Commit != status.LastIndex {
		t.Errorf("got status %+v, want every entry committed", status)
	}
}

func TestReady_CommittedEntriesAreBatched(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a"))
	node.Tick(0)
	node.Tick(DefaultElectionTimeoutMax)
	node.processReady()
	if _, _, err := node.Propose(DefaultElectionTimeoutMax, make([][]byte, maxCommittedEntries+10)); err != nil {
		t.Fatal(err)
	}
	node.Advance(node.Ready())
	first := node.Ready()
	node.Advance(first)
	second := node.Ready()
	if len(first.Committed) != maxCommittedEntries || len(second.Committed) != 10 {
		t.Errorf("got batches of %d and %d entries, want maxCommittedEntries and 10", len(first.Committed), len(second.Committed))
	}
}

func TestSnapshot_SentToLaggingFollower(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	leader, follower := cluster.elect("a"), cluster.node("c")
	cluster.isolate("c")
	cluster.propose(leader, 20)
	status := leader.Status()
	term, _ := leader.log.term(status.Applied)
	meta := SnapshotMeta{Index: status.Applied, Term: term, Membership: status.Membership}
	leader.Compact(meta)
	cluster.advance(2 * DefaultElectionTimeoutMax)
	announced := 0
	cluster.drop = func(message Message) bool {
		if message.Kind == MessageSnapshot {
			announced++
		}
		return false
	}
	cluster.advance(4 * DefaultTickInterval)
	if announced != 1 || !progressOf(t, leader, "c").NeedsSnapshot {
		t.Fatalf("snapshot sent %d times with progress %+v, want once and NeedsSnapshot true", announced, progressOf(t, leader, "c"))
	}
	leader.ReportSnapshot(cluster.now, "c", meta.Index, false)
	cluster.advance(DefaultElectionTimeoutMin + DefaultTickInterval)
	if announced != 2 {
		t.Fatalf("snapshot sent %d times after a failed transfer, want 2", announced)
	}
	if !follower.ShouldInstallSnapshot(meta) {
		t.Fatal("ShouldInstallSnapshot on the lagging follower: got false, want true")
	}
	follower.SnapshotInstalled(cluster.now, meta)
	leader.ReportSnapshot(cluster.now, "c", meta.Index, true)
	cluster.deliverAll()
	cluster.propose(leader, 1)
	if progress := progressOf(t, leader, "c"); progress.NeedsSnapshot || progress.Match != leader.Status().LastIndex {
		t.Errorf("got progress %+v, want NeedsSnapshot false and the last index of the leader", progress)
	}
}

// TestSnapshot_StaleNotInstalled: a delayed snapshot must not discard entries that
// the replica has acknowledged.
func TestSnapshot_StaleNotInstalled(t *testing.T) {
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.step(0, Message{
		Kind: MessageAppend, From: "b", Term: 2, Index: 1, LogTerm: 1, Commit: 1,
		Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}},
	})
	meta := SnapshotMeta{Index: 3, Term: 2, Membership: testMembership("a", "b", "c")}
	if node.ShouldInstallSnapshot(meta) {
		t.Error("snapshot whose last entry is in the log: ShouldInstallSnapshot is true, want false")
	}
	if status := node.Status(); status.Commit != 3 || status.LastIndex != 4 {
		t.Errorf("got status %+v, want commit 3 and last index 4", status)
	}
}

// TestSnapshot_OlderThanCompactedNotInstalled: the log no longer has the entry of a
// snapshot that is older than its compacted index, but has committed past it.
func TestSnapshot_OlderThanCompactedNotInstalled(t *testing.T) {
	membership := testMembership("a", "b", "c")
	node := newTestNode(t, Config{ID: "a"}, RestoredState{Snapshot: SnapshotMeta{Index: 9, Term: 3, Membership: membership}})
	older := SnapshotMeta{Index: 5, Term: 2, Membership: membership}
	if node.ShouldInstallSnapshot(older) {
		t.Error("snapshot older than the compacted index: ShouldInstallSnapshot is true, want false")
	}
	node.SnapshotInstalled(0, older)
	if status := node.Status(); status.Commit != 9 || status.FirstIndex != 10 {
		t.Errorf("got status %+v, want commit 9 and first index 10", status)
	}
}
