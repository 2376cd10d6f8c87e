package raft

import (
	"testing"
	"time"
)

// TestReady_NoEarlyMessagesBeforeVoteIsDurable: a leader whose own vote is not on
// disk yet could be another candidate's voter after a crash, so its appends wait.
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
		t.Fatalf("status %+v", status)
	}
	ready := node.Ready()
	if len(ready.EarlyMessages) != 0 || len(messagesOfKind(ready.Messages, MessageAppend)) == 0 {
		t.Errorf("early %+v, after the sync %+v", ready.EarlyMessages, ready.Messages)
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
		t.Errorf("no early append once the vote is durable: %+v", ready)
	}
}
