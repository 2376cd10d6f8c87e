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
		t.Fatalf("got %d distinct log indexes, want one for each of %d commands", got, len(names))
	}
	for _, m := range machines {
		if got := workerNames(t, m); !slices.Equal(got, names) {
			t.Fatalf("%s: record has %d workers, want %d in order", m.name, len(got), len(names))
		}
	}
	follower := without(machines, leader)[0]
	if _, err := follower.replica.Propose(t.Context(), token, registration("x")); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("propose to a follower: got %v, want ErrNotLeader", err)
	}
	if _, err := leader.replica.Propose(t.Context(), token-1, registration("x")); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("propose with an old token: got %v, want ErrNotLeader", err)
	}

	clock := leader.replica.Now()
	leader.crash()
	if _, err := leader.replica.Propose(t.Context(), token, registration("x")); !errors.Is(err, ErrStopped) {
		t.Fatalf("propose to a stopped replica: got %v, want ErrStopped", err)
	}
	if leader.replica.HoldsLease(token) {
		t.Fatal("stopped replica holds the lease")
	}
	survivors := without(machines, leader)
	newLeader := leaderOf(t, survivors...)
	if got := newLeader.replica.Status().Term; got <= token {
		t.Fatalf("token of the new leader: got %d, want above %d", got, token)
	}
	if got := newLeader.replica.Now(); got < clock-1 {
		t.Fatalf("cluster clock went back from %d to %d after failover", clock, got)
	}
	if got := workerNames(t, newLeader); !slices.Equal(got, names) {
		t.Fatalf("new leader: record has %d workers, want %d", len(got), len(names))
	}
	proposeRegistration(t, "zz-after", survivors...)

	leader.start() // with the store that it had before the crash
	want := append(slices.Clone(names), "zz-after")
	if got := workerNames(t, leader); !slices.Equal(got, want) {
		t.Fatalf("restarted replica: record has %d workers, want %d", len(got), len(want))
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
		t.Fatalf("restarted replica: record has %d workers, want %d", len(got), len(names))
	}
	if got := m.replica.Status().Term; got <= token {
		t.Fatalf("term after the restart: got %d, want above %d", got, token)
	}
}

func TestTransport_HangingPeerDelaysNoCommit(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	without(machines, leader)[0].unresponsive.Store(true)
	data := make([]byte, 256<<10) // large enough that the commands fill the queue to the unresponsive peer
	for i := range 60 {
		command := registration(fmt.Sprintf("worker-%03d", i))
		command.RegisterWorkers.Workers[0].Zone = string(data)
		if _, err := leader.replica.Propose(t.Context(), token, command); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
	}
	if !leader.replica.HoldsLease(token) {
		t.Fatal("leader lost the lease while a peer was unresponsive")
	}
	without(machines, leader)[0].unresponsive.Store(false)
	if got := len(workerNames(t, without(machines, leader)[0])); got != 60 {
		t.Fatalf("peer has %d workers after it caught up, want 60", got)
	}
}
