package raft

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkProposeCommit proposes batches of 100 commands of 200 bytes to a
// leader and commits them on three in-memory nodes. One operation is one command.
func BenchmarkProposeCommit(b *testing.B) {
	const batch = 100
	nodes := make(map[ReplicaID]*Node, 3)
	order := []ReplicaID{"a", "b", "c"}
	for _, id := range order {
		node, err := New(Config{ID: id}, initialState(order...))
		if err != nil {
			b.Fatal(err)
		}
		nodes[id] = node
	}
	now := time.Duration(0)
	exchange := func() {
		for busy := true; busy; {
			busy = false
			for _, id := range order {
				node := nodes[id]
				if !node.HasReady() {
					continue
				}
				busy = true
				ready := node.Ready()
				node.Advance(ready)
				for _, message := range slices.Concat(ready.EarlyMessages, ready.Messages) {
					if err := nodes[message.To].Step(now, message); err != nil {
						b.Fatal(err)
					}
				}
			}
		}
	}
	leader := nodes["a"]
	leader.Tick(now)
	now += DefaultElectionTimeoutMax
	leader.Tick(now)
	exchange()
	commands := make([][]byte, batch)
	for i := range commands {
		commands[i] = make([]byte, 200)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for proposed := 0; proposed < b.N; proposed += batch {
		now += time.Millisecond
		if _, _, err := leader.Propose(now, commands); err != nil {
			b.Fatal(err)
		}
		exchange()
		compactAll(nodes, order)
	}
	b.StopTimer()
	if status := leader.Status(); status.Commit < uint64(b.N) {
		b.Fatalf("got commit index %d, want at least %d", status.Commit, b.N)
	}
}

// compactAll compacts each log that has more than 10,000 applied entries, as the
// owner of a node would.
func compactAll(nodes map[ReplicaID]*Node, order []ReplicaID) {
	for _, id := range order {
		node := nodes[id]
		if applied := node.log.applied; applied > node.log.compactedIndex+10000 {
			term, _ := node.log.term(applied)
			node.Compact(SnapshotMeta{Index: applied, Term: term})
		}
	}
}
