package integration

import (
	"fmt"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// faultTime is how long most faults last.
	faultTime = 400 * time.Millisecond
	// hangTime leaves the others the time to elect a leader and to act under it.
	hangTime = 1500 * time.Millisecond
)

// injectFault starts a fault, of each kind in turn, and returns what ends it and how long
// it is to last.
func (r *faultRun) injectFault(number int, leader *node) (repair func(), lasts time.Duration) {
	other := without(r.nodes, leader)[r.random.IntN(2)]
	kinds := []func() (repair func(), lasts time.Duration){
		func() (func(), time.Duration) { return r.partition(leader) }, // callers still reach the old leader
		func() (func(), time.Duration) { return r.crash(leader) },
		func() (func(), time.Duration) { return r.partitionOneWay(leader, other) },
		// The old leader answers, but does not learn that it leads no more.
		func() (func(), time.Duration) { return r.stores[leader].hang(), hangTime },
		func() (func(), time.Duration) { return r.crash(other) },
		func() (func(), time.Duration) { return r.partition(r.nodes...) }, // nobody has a majority
		func() (func(), time.Duration) { return r.crash(r.nodes...) },     // the power fails
	}
	return kinds[number%len(kinds)]()
}

// crash crashes nodes, and restarts them at the end.
func (r *faultRun) crash(nodes ...*node) (repair func(), lasts time.Duration) {
	for _, n := range nodes {
		n.crash()
	}
	return func() { startAll(nodes) }, faultTime
}

// partition separates nodes from all others, and from each other.
func (r *faultRun) partition(nodes ...*node) (repair func(), lasts time.Duration) {
	for _, n := range nodes {
		r.links.cutAll(r.linksOf(n)...)
	}
	return r.links.heal, faultTime
}

// partitionOneWay cuts one direction only, and some callers too.
func (r *faultRun) partitionOneWay(from, to *node) (repair func(), lasts time.Duration) {
	cuts := []link{{from: from.name, to: to.name}}
	for number := range callers / 2 {
		cuts = append(cuts, link{from: fmt.Sprintf("caller-%d", number), to: from.name})
	}
	r.links.cutAll(cuts...)
	return r.links.heal, faultTime
}

// hangingStore is a store whose disk hangs at times.
type hangingStore struct {
	*storage.Memory
	saving sync.Mutex
}

// hang blocks writes until release is called.
func (s *hangingStore) hang() (release func()) {
	s.saving.Lock()
	return s.saving.Unlock
}

func (s *hangingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	s.saving.Lock()
	defer s.saving.Unlock()
	return s.Memory.Save(hardState, entries, sync)
}

// linksOf are the links between a node and the other nodes.
func (r *faultRun) linksOf(n *node) []link {
	var cuts []link
	for _, other := range without(r.nodes, n) {
		cuts = append(cuts, link{from: n.name, to: other.name}, link{from: other.name, to: n.name})
	}
	return cuts
}
