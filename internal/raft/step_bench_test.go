package raft

import (
	"testing"
	"time"
)

// BenchmarkStep measures how a follower handles one append of ten commands of 200
// bytes, from the message to its response, without disk or network. To measure an
// older version, copy this file there and replace initialState by that version's
// name for it ("founding" in earlier versions).
func BenchmarkStep(b *testing.B) {
	const entriesPerAppend = 10
	follower, err := New(Config{ID: "b"}, initialState("a", "b", "c"))
	if err != nil {
		b.Fatal(err)
	}
	message := Message{Kind: MessageAppend, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1}
	for range entriesPerAppend {
		message.Entries = append(message.Entries, Entry{Term: 2, Data: make([]byte, 200)})
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		for number := range message.Entries {
			message.Entries[number].Index = message.Index + 1 + uint64(number)
		}
		if err := follower.Step(now, message); err != nil {
			b.Fatal(err)
		}
		for follower.HasReady() {
			ready := follower.Ready()
			follower.Advance(ready)
		}
		message.Index += entriesPerAppend
		message.LogTerm = 2
		message.Commit = message.Index
		if message.Index%10_000 == 1 {
			follower.Compact(SnapshotMeta{Index: message.Index - entriesPerAppend, Term: 2})
		}
	}
	if last := follower.Status().LastIndex; last != message.Index {
		b.Fatalf("got last index %d, want %d", last, message.Index)
	}
}
