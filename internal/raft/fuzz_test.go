package raft

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzDecodeMembership holds that no data panic, and that what is read is read
// the same from what it is written as.
func FuzzDecodeMembership(f *testing.F) {
	joint := testMembership("a", "b", "c")
	joint.Outgoing, joint.Learners = joint.Voters[:2], []Member{{ID: "d", Zone: "z", Address: "127.0.0.1:1"}}
	for _, seed := range []Membership{{}, testMembership("a"), joint} {
		data, err := EncodeMembership(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		membership, err := DecodeMembership(data)
		if err != nil {
			return
		}
		encoded, err := EncodeMembership(membership)
		if err != nil {
			t.Fatalf("decoded but not encoded: %v", err)
		}
		again, err := DecodeMembership(encoded)
		if err != nil {
			t.Fatalf("encoded but not decoded: %v", err)
		}
		second, err := EncodeMembership(again)
		if err != nil || !reflect.DeepEqual(encoded, second) {
			t.Fatalf("%x became %x, error %v", encoded, second, err)
		}
	})
}

// FuzzStep holds that no message from another replica makes a follower or a
// leader panic, or go back in its term or its commit index.
func FuzzStep(f *testing.F) {
	entries := []Entry{{Index: 3, Term: 2, Data: []byte("x")}}
	for _, seed := range []Message{
		{Kind: MessagePreVote, From: "b", To: "a", Term: 9, Index: 2, LogTerm: 2},
		{Kind: MessageVote, From: "b", To: "a", Term: 9, Index: 2, LogTerm: 2, Transfer: true},
		{Kind: MessageAppend, From: "b", To: "a", Term: 9, Index: 2, LogTerm: 2, Entries: entries, Commit: 3, Round: 1},
		{Kind: MessageAppendResponse, From: "b", To: "a", Term: 2, Index: 2, LogTerm: 2, Round: 1},
		{Kind: MessageAppendResponse, From: "b", To: "a", Term: 2, Reject: true, RejectHint: 1},
		{Kind: MessageSnapshot, From: "b", To: "a", Term: 9, Snapshot: &SnapshotMeta{Index: 8, Term: 8}},
		{Kind: MessageTimeoutNow, From: "b", To: "a", Term: 9},
		{Kind: 200, From: "b", To: "a", Term: 9},
	} {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message Message
		if cbor.Unmarshal(data, &message) != nil {
			return
		}
		stepFollower(t, message)
		stepLeader(t, message)
	})
}

func stepFollower(t *testing.T, message Message) {
	t.Helper()
	follower := newTestNode(t, Config{ID: "a", Seed: 1}, initialState("a", "b", "c"))
	follower.Tick(0)
	stepChecked(t, follower, time.Millisecond, message)
}

// stepLeader elects the node and then gives it the message.
func stepLeader(t *testing.T, message Message) {
	t.Helper()
	const elected = 2 * time.Second
	leader := newTestNode(t, Config{ID: "a", Seed: 1}, initialState("a", "b", "c"))
	leader.Tick(0)
	leader.Tick(elected)
	for range 2 {
		for _, request := range leader.processReady() {
			response := Message{From: request.To, To: "a", Term: request.Term}
			switch request.Kind {
			case MessagePreVote:
				response.Kind = MessagePreVoteResponse
			case MessageVote:
				response.Kind = MessageVoteResponse
			default:
				continue
			}
			if err := leader.Step(elected, response); err != nil {
				t.Fatal(err)
			}
		}
	}
	leader.processReady()
	if leader.Status().Role != RoleLeader {
		t.Fatalf("not elected: %+v", leader.Status())
	}
	stepChecked(t, leader, elected+time.Millisecond, message)
}

func stepChecked(t *testing.T, node *testNode, now time.Duration, message Message) {
	t.Helper()
	before := node.Status()
	_ = node.Step(now, message) // an error is as good
	node.processReady()
	node.Tick(now + time.Second)
	node.processReady()
	after := node.Status()
	if after.Term < before.Term || after.Commit < before.Commit {
		t.Fatalf("from term %d, commit %d back to %d, %d", before.Term, before.Commit, after.Term, after.Commit)
	}
}
