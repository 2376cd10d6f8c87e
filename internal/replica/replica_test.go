package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startAll(machines []*machine) {
	for _, m := range machines {
		m.start()
	}
}

func without(machines []*machine, left ...*machine) []*machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m *machine) bool { return slices.Contains(left, m) })
}

func workerNameRange(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("worker-%03d", i)
	}
	return names
}

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

func TestPrepareShutdown_TransfersLeadership(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	leader.replica.PrepareShutdown(ctx)
	if ctx.Err() != nil || leader.replica.HoldsLease(token) {
		t.Fatalf("after the handover: %v, lease held %v", ctx.Err(), leader.replica.HoldsLease(token))
	}
	next := leaderOf(t, without(machines, leader)...)
	if got := next.replica.Status().Term; got <= token {
		t.Fatalf("new token %d is not above %d", got, token)
	}
}

func TestSetZone_ReachesMembership(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leaderOf(t, machines...)
	for _, m := range machines {
		m.replica.SetZone("moved-" + m.name)
	}
	eventually(t, "every zone is known everywhere", func() bool {
		for _, m := range machines {
			for _, voter := range m.replica.Status().Membership.Voters {
				if voter.Zone != "moved-"+voter.Name {
					return false
				}
			}
		}
		return true
	})
}

// replaceDisk gives a machine an empty disk and waits until its new replica votes.
func replaceDisk(t *testing.T, m *machine, seed int64, rest []*machine) {
	t.Helper()
	old := m.replica.self.ID
	m.crash()
	m.store = storage.NewMemory(seed)
	m.start()
	for _, other := range rest {
		eventually(t, m.name+" replaced on "+other.name, func() bool {
			ids := voterIDs(other)
			status := other.replica.Status()
			return ids[m.replica.self.ID] && !ids[old] && len(ids) == 3 && len(status.Membership.Outgoing) == 0
		})
	}
}

func TestMembership_LostDiskReplaced(t *testing.T) {
	for _, every := range []uint64{1_000_000, 20} { // without and with newer snapshots
		t.Run(fmt.Sprintf("snapshot-every-%d", every), func(t *testing.T) {
			machines := newMachines(t, 3)
			for _, m := range machines {
				m.snapshotEvery = every
			}
			startAll(machines)
			names := workerNameRange(100)
			for _, name := range names {
				proposeRegistration(t, name, leaderOf(t, machines...))
			}
			leader := leaderOf(t, machines...)
			archived := record.ArchivedJob{ID: "ended", Index: 2, EndedAt: 1}
			for _, m := range machines {
				if err := m.store.Archive().Put([]record.ArchivedJob{archived}); err != nil {
					t.Fatal(err)
				}
			}
			lost := without(machines, leader)[0]
			replaceDisk(t, lost, 99, without(machines, lost))
			if _, known, err := lost.store.Archive().Get("ended"); err != nil || !known {
				t.Fatalf("the newcomer lacks the archived job: %v, %v", known, err)
			}
			// A second loss right after the repair: the newcomer must count.
			second := without(machines, lost, leader)[0]
			second.crash()
			left := without(machines, second)
			proposeRegistration(t, "zz-after", left...)
			want := append(slices.Clone(names), "zz-after")
			for _, m := range left {
				if got := workerNames(t, m); !slices.Equal(got, want) {
					t.Fatalf("%s holds %d workers, want %d", m.name, len(got), len(want))
				}
			}
		})
	}
}

// TestMembership_EveryDiskLostInTurn: the last newcomer gets a snapshot whose membership
// lists nobody who is left, not even its sender.
func TestMembership_EveryDiskLostInTurn(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	proposeRegistration(t, "before", machines...)
	for i, lost := range machines {
		replaceDisk(t, lost, int64(90+i), without(machines, lost))
	}
	for _, m := range machines {
		if got := workerNames(t, m); !slices.Equal(got, []string{"before"}) {
			t.Errorf("%s has the workers %v", m.name, got)
		}
	}
}

func TestSnapshot_SentToLaggingFollower(t *testing.T) {
	machines := newMachines(t, 3)
	for _, m := range machines {
		m.snapshotEvery = 10
	}
	startAll(machines)
	leader := leaderOf(t, machines...)
	lagging := without(machines, leader)[0]
	lagging.crash()
	names := workerNameRange(100)
	for _, name := range names {
		proposeRegistration(t, name, without(machines, lagging)...)
	}
	lagging.start()
	if got := workerNames(t, lagging); !slices.Equal(got, names) {
		t.Fatalf("holds %d workers, want %d", len(got), len(names))
	}
	if loaded, err := lagging.store.Load(); err != nil || loaded.Snapshot.Index <= bootstrapIndex {
		t.Fatalf("snapshot at %d, %v: want a newer one", loaded.Snapshot.Index, err)
	}
}

func TestBootstrap_WaitsForUnreachableSeed(t *testing.T) {
	machines := newMachines(t, 4)
	startAll(machines[:3])
	rounds := func(m *machine) bool { return len(m.replica.identity().Membership.Voters) > 0 }
	for range 5 {
		time.Sleep(bootstrapInterval)
		for _, m := range machines[:3] {
			if rounds(m) || !m.store.Empty() || m.replica.running.Load() {
				t.Fatalf("%s did not wait for the fourth seed", m.name)
			}
		}
	}
	machines[3].start()
	leaderOf(t, machines...)
	for _, m := range machines {
		eventually(t, "four voters on "+m.name, func() bool { return len(voterIDs(m)) == 4 })
	}
}

func TestPropose_WithoutQuorumNotAcknowledged(t *testing.T) {
	machines := newMachines(t, 3)
	startAll(machines)
	leader := leaderOf(t, machines...)
	token := leader.replica.Status().Term
	for _, m := range without(machines, leader) {
		m.crash()
	}
	_, err := leader.replica.Propose(t.Context(), token, registration("maybe"))
	if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("got %v, want ErrOutcomeUnknown, or ErrNotLeader after stepping down", err)
	}
	eventually(t, "the lease ends", func() bool { return !leader.replica.HoldsLease(token) })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := leader.replica.ReadBarrier(ctx); err == nil {
		t.Fatal("a read was answered without a quorum")
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

// BenchmarkPropose commits commands through three replicas on disk: many
// proposers at once, whose commands share syncs, and one that waits for each.
func BenchmarkPropose(b *testing.B) {
	machines := newMachines(b, 3)
	for _, m := range machines {
		m.useDisk(b.TempDir())
		m.snapshotEvery = 10_000
	}
	startAll(machines)
	leader := leaderOf(b, machines...)
	token := leader.replica.Status().Term
	propose := func(b *testing.B) {
		if _, err := leader.replica.Propose(b.Context(), token, registration("worker")); err != nil {
			b.Error(err)
		}
	}
	b.Run("many", func(b *testing.B) {
		b.SetParallelism(64)
		b.RunParallel(func(run *testing.PB) {
			for run.Next() {
				propose(b)
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	})
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			propose(b)
		}
	})
}
