package raft

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzDecodeMembership checks that DecodeMembership does not panic on any input,
// and that a decoded membership survives encoding and decoding unchanged.
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
			t.Fatalf("cannot encode the decoded membership: %v", err)
		}
		decodedAgain, err := DecodeMembership(encoded)
		if err != nil {
			t.Fatalf("cannot decode the encoded membership: %v", err)
		}
		encodedAgain, err := EncodeMembership(decodedAgain)
		if err != nil || !reflect.DeepEqual(encoded, encodedAgain) {
			t.Fatalf("the encoding changed in a round trip from %x to %x, error %v", encoded, encodedAgain, err)
		}
	})
}

// FuzzStep checks that no message from another replica makes a follower or a
// leader panic, or decreases its term or its commit index.
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

// stepFollower delivers the message to a follower.
func stepFollower(t *testing.T, message Message) {
	t.Helper()
	follower := newTestNode(t, Config{ID: "a", Seed: 1}, initialState("a", "b", "c"))
	follower.Tick(0)
	requireMonotonicStep(t, follower, time.Millisecond, message)
}

// stepLeader makes a node win an election and then delivers the message to it.
func stepLeader(t *testing.T, message Message) {
	t.Helper()
	const electedAt = 2 * time.Second
	leader := newTestNode(t, Config{ID: "a", Seed: 1}, initialState("a", "b", "c"))
	leader.Tick(0)
	leader.Tick(electedAt)
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
			if err := leader.Step(electedAt, response); err != nil {
				t.Fatal(err)
			}
		}
	}
	leader.processReady()
	if leader.Status().Role != RoleLeader {
		t.Fatalf("the node is not the leader: %+v", leader.Status())
	}
	requireMonotonicStep(t, leader, electedAt+time.Millisecond, message)
}

// requireMonotonicStep delivers the message, ticks the node one second later, and
// requires that neither the term nor the commit index decreased.
func requireMonotonicStep(t *testing.T, node *testNode, now time.Duration, message Message) {
	t.Helper()
	before := node.Status()
	_ = node.Step(now, message) // the node may reject the message
	node.processReady()
	node.Tick(now + time.Second)
	node.processReady()
	after := node.Status()
	if after.Term < before.Term || after.Commit < before.Commit {
		t.Fatalf("term %d and commit index %d decreased to %d and %d", before.Term, before.Commit, after.Term, after.Commit)
	}
}
