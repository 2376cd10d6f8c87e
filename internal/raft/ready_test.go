package raft

import (
	"testing"
	"time"
)

// TestReady_NoEarlyMessagesBeforeVoteIsDurable guards against two leaders in a term:
// a leader whose vote for itself is not durable could vote for another candidate
// after a crash. Its appends must wait for the sync.
func TestReady_NoEarlyMessagesBeforeVoteIsDurable(t *testing.T) {
	const elected = 2 * time.Second
	node := newTestNode(t, Config{ID: "a"}, initialState("a", "b", "c"))
	node.Tick(0)
	node.Tick(elected)
	for _, kind := range []MessageKind{MessagePreVoteResponse, MessageVoteResponse} {
		if err := node.Step(elected, Message{Kind: kind, From: "b", To: "a", Term: 2}); err != nil {
			t.Fatal(err)
		}
	}
	if status := node.Status(); status.Role != RoleLeader || status.Term != 2 {
		t.Fatalf("got status %+v, want the leader of term 2", status)
	}
	ready := node.Ready()
	if len(ready.EarlyMessages) != 0 || len(messagesOfKind(ready.Messages, MessageAppend)) == 0 {
		t.Errorf("got early messages %+v and later ones %+v, want the appends among the later ones", ready.EarlyMessages, ready.Messages)
	}
	node.Advance(ready)
	if _, _, err := node.Propose(elected, [][]byte{[]byte("command")}); err != nil {
		t.Fatal(err)
	}
	node.step(elected, appendResponse("b", 1, 1))
	if _, _, err := node.Propose(elected, [][]byte{[]byte("command")}); err != nil {
		t.Fatal(err)
	}
	if ready := node.Ready(); len(messagesOfKind(ready.EarlyMessages, MessageAppend)) == 0 {
		t.Errorf("after the vote is durable: got %+v, want an early append", ready)
	}
}
