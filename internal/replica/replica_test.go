package replica

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestReplica_BootstrapsCommitsAndFailsOver(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	for _, m := range machines {
		eventually(t, "three voters on "+m.name, func() bool { return len(voterIDs(m)) == 3 })
	}
	names := workerNameRange(200)
	token := leader.replica.Status().Term
	var proposers sync.WaitGroup
	indexes := make([]uint64, len(names))
	for i, name := range names {
		proposers.Go(func() {
			result, err := leader.replica.Propose(t.Context(), token, registration(name))
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			indexes[i] = result.Index
		})
	}
	proposers.Wait()
	slices.Sort(indexes)
	if got := len(slices.Compact(indexes)); got != len(names) {
		t.Fatalf("%d places for %d commands", got, len(names))
	}
	for _, m := range machines {
		if got := workerNames(t, m); !slices.Equal(got, names) {
			t.Fatalf("%s holds %d workers, want %d in order", m.name, len(got), len(names))
		}
	}
	follower := without(machines, leader)[0]
	if _, err := follower.replica.Propose(t.Context(), token, registration("x")); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("follower: %v, want ErrNotLeader", err)
	}
	if _, err := leader.replica.Propose(t.Context(), token-1, registration("x")); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("old token: %v, want ErrNotLeader", err)
	}

	clock := leader.replica.Now()
	leader.crash()
	if _, err := leader.replica.Propose(t.Context(), token, registration("x")); !errors.Is(err, ErrStopped) {
		t.Fatalf("stopped replica: %v, want ErrStopped", err)
	}
	if leader.replica.HoldsLease(token) {
		t.Fatal("a stopped replica claims the lease")
	}
	rest := without(machines, leader)
	next := leaderOf(t, rest...)
	if got := next.replica.Status().Term; got <= token {
		t.Fatalf("new token %d is not above %d", got, token)
	}
	if got := next.replica.Now(); got < clock-1 {
		t.Fatalf("cluster clock went back from %d to %d", clock, got)
	}
	if got := workerNames(t, next); !slices.Equal(got, names) {
		t.Fatalf("new leader holds %d workers, want %d", len(got), len(names))
	}
	proposeRegistration(t, "zz-after", rest...)

	leader.start() // on its own store
	want := append(slices.Clone(names), "zz-after")
	if got := workerNames(t, leader); !slices.Equal(got, want) {
		t.Fatalf("restarted replica holds %d workers, want %d", len(got), len(want))
	}
}

func TestReplica_SingleRestartsFromDisk(t *testing.T) {
	m := newMachines(t, 1)[0]
	m.snapshotEvery = 10
	directory := t.TempDir()
	m.useDisk(directory)
	m.start()
	names := workerNameRange(35)
	for _, name := range names {
		proposeRegistration(t, name, m)
	}
	token := leaderOf(t, m).replica.Status().Term
	m.stop()
	if err := m.store.Close(); err != nil {
		t.Fatal(err)
	}
	m.useDisk(directory)
	m.start()
	if got := workerNames(t, m); !slices.Equal(got, names) {
		t.Fatalf("holds %d workers, want %d", len(got), len(names))
	}
	if got := m.replica.Status().Term; got <= token {
		t.Fatalf("term %d is not above %d", got, token)
	}
}

func TestTransport_HangingPeerDelaysNoCommit(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	without(machines, leader)[0].hangs.Store(true)
	data := make([]byte, 256<<10) // many of them fill the queue to the hanging peer
	for i := range 60 {
		command := registration(fmt.Sprintf("worker-%03d", i))
		command.RegisterWorkers.Workers[0].Zone = string(data)
		if _, err := leader.replica.Propose(t.Context(), token, command); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
	}
	if !leader.replica.HoldsLease(token) {
		t.Fatal("the lease was lost")
	}
	without(machines, leader)[0].hangs.Store(false)
	if got := len(workerNames(t, without(machines, leader)[0])); got != 60 {
		t.Fatalf("the peer caught up to %d workers, want 60", got)
	}
}
