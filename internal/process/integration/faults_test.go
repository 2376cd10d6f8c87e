package integration

import (
	"fmt"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// faultDuration is the duration of all faults except a hanging disk.
	faultDuration = 400 * time.Millisecond
	// hangDuration is the duration of a hanging disk. It is long enough for the other nodes
	// to elect a leader and to serve calls.
	hangDuration = 1500 * time.Millisecond
)

// injectFault starts a fault. number selects its kind, so that consecutive numbers cover all
// kinds. The caller must call repair after the duration to end the fault.
func (r *faultRun) injectFault(number int, leader *node) (repair func(), duration time.Duration) {
	follower := without(r.nodes, leader)[r.random.IntN(2)]
	kinds := []func() (repair func(), lasts time.Duration){
		func() (func(), time.Duration) { return r.partition(leader) }, // callers can still reach the old leader
		func() (func(), time.Duration) { return r.crash(leader) },
		func() (func(), time.Duration) { return r.partitionOneWay(leader, follower) },
		// The old leader answers calls, but does not notice that it lost leadership.
		func() (func(), time.Duration) { return r.stores[leader].hang(), hangDuration },
		func() (func(), time.Duration) { return r.crash(follower) },
		func() (func(), time.Duration) { return r.partition(r.nodes...) }, // no node has a majority
		func() (func(), time.Duration) { return r.crash(r.nodes...) },     // power failure of all nodes
	}
	return kinds[number%len(kinds)]()
}

// crash crashes the nodes; repair restarts them.
func (r *faultRun) crash(nodes ...*node) (repair func(), lasts time.Duration) {
	for _, n := range nodes {
		n.crash()
	}
	return func() { startAll(nodes) }, faultDuration
}

// partition disconnects each of the nodes from all other nodes, until repair.
func (r *faultRun) partition(nodes ...*node) (repair func(), lasts time.Duration) {
	for _, n := range nodes {
		r.links.cutAll(r.linksOf(n)...)
	}
	return r.links.heal, faultDuration
}

// partitionOneWay cuts the link in one direction, and the links of half the callers to the
// node from, until repair.
func (r *faultRun) partitionOneWay(from, to *node) (repair func(), lasts time.Duration) {
	cuts := []link{{from: from.name, to: to.name}}
	for number := range callerCount / 2 {
		cuts = append(cuts, link{from: fmt.Sprintf("caller-%d", number), to: from.name})
	}
	r.links.cutAll(cuts...)
	return r.links.heal, faultDuration
}

// hangingStore is a store that simulates a hanging disk.
type hangingStore struct {
	*storage.Memory
	// saving is locked during a Save, and by hang to block all Saves.
	saving sync.Mutex
}

// hang blocks all Saves until release is called.
func (s *hangingStore) hang() (release func()) {
	s.saving.Lock()
	return s.saving.Unlock
}

func (s *hangingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	s.saving.Lock()
	defer s.saving.Unlock()
	return s.Memory.Save(hardState, entries, sync)
}

// linksOf returns the links between a node and all other nodes, in both directions.
func (r *faultRun) linksOf(n *node) []link {
	var all []link
	for _, other := range without(r.nodes, n) {
		all = append(all, link{from: n.name, to: other.name}, link{from: other.name, to: n.name})
	}
	return all
}
