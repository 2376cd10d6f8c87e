package integration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

// fullDiskStore is a store that simulates a full disk.
type fullDiskStore struct {
	*storage.Memory
	// full makes all writes fail; noSnapshots and noArchive make only the writes of
	// snapshots and of the archive fail.
	full         atomic.Bool
	noSnapshots  atomic.Bool
	noArchive    atomic.Bool
	failedWrites atomic.Int64
}

// write returns an ENOSPC error if full or kind is set, and counts it in failedWrites.
func (s *fullDiskStore) write(kind *atomic.Bool) error {
	if s.full.Load() || kind.Load() {
		s.failedWrites.Add(1)
		return &os.PathError{Op: "write", Path: "data/log-0000000000000001.wal", Err: syscall.ENOSPC}
	}
	return nil
}

func (s *fullDiskStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if err := s.write(&s.full); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrNoSpace, err)
	}
	return s.Memory.Save(hardState, entries, sync)
}

func (s *fullDiskStore) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	if err := s.write(&s.noSnapshots); err != nil {
		return err
	}
	return s.Memory.SaveSnapshot(meta, keepEntries, write)
}

func (s *fullDiskStore) InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error {
	if err := s.write(&s.noSnapshots); err != nil {
		return err
	}
	return s.Memory.InstallSnapshot(meta, data)
}

func (s *fullDiskStore) Archive() record.Archive {
	return fullDiskArchive{Archive: s.Memory.Archive(), store: s}
}

type fullDiskArchive struct {
	record.Archive
	store *fullDiskStore
}

func (a fullDiskArchive) Put(jobs []record.ArchivedJob) error {
	if err := a.store.write(&a.store.noArchive); err != nil {
		return err
	}
	return a.Archive.Put(jobs)
}

// newFullDiskNodes starts three nodes, each on a fullDiskStore that is not full yet.
func newFullDiskNodes(t *testing.T) ([]*node, map[*node]*fullDiskStore) {
	t.Helper()
	nodes := newNodes(t, 3)
	stores := map[*node]*fullDiskStore{}
	for i, n := range nodes {
		stores[n] = &fullDiskStore{Memory: storage.NewMemory(int64(i + 1))}
		n.store, n.snapshotEvery = stores[n], 20
	}
	startAll(nodes)
	request := protocol.PutConfigRequest{OrderID: "first", Config: taggedConfig("first")}
	if _, err := callUntilAnswered[protocol.PutConfigRequest, protocol.PutConfigAnswer](t, newClient(t), nodes, protocol.MethodPutConfig, request); err != nil {
		t.Fatal(err)
	}
	return nodes, stores
}

// submitJobs submits count jobs, waits until each was acknowledged by one of the nodes, and
// returns their IDs.
func submitJobs(t *testing.T, nodes []*node, prefix string, count int) []string {
	t.Helper()
	client := newClient(t)
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", prefix, i)
		request := protocol.SubmitRequest{ID: ids[i], Spec: taggedJob("first")}
		if _, err := callUntilAnswered[protocol.SubmitRequest, protocol.SubmitAnswer](t, client, nodes, protocol.MethodSubmit, request); err != nil {
			t.Fatalf("%s: %v", ids[i], err)
		}
	}
	return ids
}

// wantStoppedByFullDisk waits until the node ends with ENOSPC, and checks the exit code and
// message of its program for this error.
func wantStoppedByFullDisk(t *testing.T, n *node) {
	t.Helper()
	err := n.result()
	if !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("%s: got result %v, want %v", n.name, err, syscall.ENOSPC)
	}
	command := &cobra.Command{Use: "program", RunE: func(*cobra.Command, []string) error { return err }}
	command.SetArgs([]string{})
	var stderr bytes.Buffer
	if code := daemon.Execute(t.Context(), command, &stderr); code != daemon.ExitFailure {
		t.Errorf("got exit code %d, want %d", code, daemon.ExitFailure)
	}
	if message := stderr.String(); strings.Count(message, "\n") != 1 || !strings.Contains(message, "no space left on device") {
		t.Errorf("got stderr %q, want one line that names the cause", message)
	}
}

// wantJobs waits until the node's own replicated state or archive contains all jobs.
func wantJobs(t *testing.T, n *node, ids []string) {
	t.Helper()
	eventually(t, n.name+" has all jobs", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if n.replica.ReadBarrier(ctx) != nil {
			return false
		}
		missing := 0
		n.replica.Record().Read(func(view record.View) {
			for _, id := range ids {
				if _, known, err := view.Status(id, nil); err != nil || !known {
					missing++
				}
			}
		})
		return missing == 0
	})
}

// wantNotParticipating waits until a write has failed on full, the node whose disk is full.
// It then checks that this node continues to run but neither leads nor counts towards the quorum: while only it
// and one other node run, no job is acknowledged.
func wantNotParticipating(t *testing.T, full *node, store *fullDiskStore, nodes []*node) {
	t.Helper()
	eventually(t, full.name+" failed a write", func() bool { return store.failedWrites.Load() > 0 })
	rest := without(nodes, full)
	eventually(t, full.name+" lost leadership to another node", func() bool { return !full.leads() && leaderOf(t, rest) != nil })
	stopped := without(rest, leaderOf(t, rest))[0]
	stopped.crash()
	for deadline := time.Now().Add(fullDiskObservation); time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		request := protocol.SubmitRequest{ID: fmt.Sprintf("no-quorum-%d", time.Now().UnixNano()), Spec: taggedJob("first")}
		_, err := rpc.Call[protocol.SubmitRequest, protocol.SubmitAnswer](ctx, newClient(t), without(rest, stopped)[0].address, protocol.MethodSubmit, request)
		cancel()
		if err == nil {
			t.Fatalf("job %s was acknowledged by two nodes of which one has a full disk", request.ID)
		}
	}
	select {
	case err := <-full.ended:
		t.Fatalf("%s ended with %v, want it still running", full.name, err)
	default:
	}
	stopped.start()
}

// fullDiskObservation is how long wantNotParticipating submits jobs.
const fullDiskObservation = 1500 * time.Millisecond

// TestFullDisk_FollowerStopsParticipating checks that a follower does not participate while
// its disk is full, and participates again, without a restart, once there is space.
func TestFullDisk_FollowerStopsParticipating(t *testing.T) {
	nodes, stores := newFullDiskNodes(t)
	ids := submitJobs(t, nodes, "before", 10)
	leader := leaderOf(t, nodes)
	full := without(nodes, leader)[0]
	stores[full].full.Store(true)
	rest := without(nodes, full)
	ids = append(ids, submitJobs(t, rest, "meanwhile", 50)...) // more entries than the log retains
	wantNotParticipating(t, full, stores[full], nodes)
	ids = append(ids, submitJobs(t, rest, "still", 10)...)
	stores[full].full.Store(false)
	wantJobs(t, full, ids)
	// The node counts towards the quorum again: with one other node it forms the majority.
	rest[1].crash()
	ids = append(ids, submitJobs(t, without(nodes, rest[1]), "after", 10)...)
	wantJobs(t, full, ids)
}

// TestFullDisk_StartWaits checks that a node that is started while its disk is full does not
// participate until there is space.
func TestFullDisk_StartWaits(t *testing.T) {
	nodes, stores := newFullDiskNodes(t)
	ids := submitJobs(t, nodes, "before", 10)
	full := without(nodes, leaderOf(t, nodes))[0]
	stores[full].full.Store(true)
	full.crash()
	rest := without(nodes, full)
	full.start()
	ids = append(ids, submitJobs(t, rest, "meanwhile", 10)...)
	wantNotParticipating(t, full, stores[full], nodes)
	stores[full].full.Store(false)
	wantJobs(t, full, ids)
}

// TestFullDisk_StopSucceeds checks that a node whose disk is full stops without an error.
func TestFullDisk_StopSucceeds(t *testing.T) {
	nodes, stores := newFullDiskNodes(t)
	full := without(nodes, leaderOf(t, nodes))[0]
	stores[full].full.Store(true)
	submitJobs(t, without(nodes, full), "meanwhile", 3)
	eventually(t, "a write failed on the full disk", func() bool { return stores[full].failedWrites.Load() > 0 })
	full.stop()
}

// TestFullDisk_LeaderLosesLeadership fills the leader's disk while callers submit jobs. The
// leader must lose leadership, and no acknowledged job may be lost.
func TestFullDisk_LeaderLosesLeadership(t *testing.T) {
	nodes, stores := newFullDiskNodes(t)
	leader := leaderOf(t, nodes)
	acknowledged := submitJobs(t, nodes, "before", 10)
	var mutex sync.Mutex
	var callers sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for number := range 8 {
		client := newClient(t)
		callers.Go(func() {
			for serial := 0; ctx.Err() == nil; serial++ {
				id := fmt.Sprintf("job-%d-%d", number, serial)
				request := protocol.SubmitRequest{ID: id, Spec: taggedJob("first")}
				_, err := rpc.Call[protocol.SubmitRequest, protocol.SubmitAnswer](ctx, client, leader.address, protocol.MethodSubmit, request)
				if err == nil {
					mutex.Lock()
					acknowledged = append(acknowledged, id)
					mutex.Unlock()
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	eventually(t, "at least 100 acknowledged jobs", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(acknowledged) >= 100
	})
	stores[leader].full.Store(true)
	wantNotParticipating(t, leader, stores[leader], nodes)
	cancel()
	callers.Wait()

	rest := without(nodes, leader)
	acknowledged = append(acknowledged, submitJobs(t, rest, "after", 10)...)
	for _, n := range rest {
		wantJobs(t, n, acknowledged)
	}
	stores[leader].full.Store(false)
	wantJobs(t, leader, acknowledged)
}

// TestFullDisk_SnapshotsFail checks that replicas continue to work while they cannot write
// snapshots, which only save space, and write them once they can.
func TestFullDisk_SnapshotsFail(t *testing.T) {
	nodes, stores := newFullDiskNodes(t)
	for _, store := range stores {
		store.noSnapshots.Store(true)
	}
	ids := submitJobs(t, nodes, "job", 60)
	for n, store := range stores {
		eventually(t, n.name+" tried to write a snapshot", func() bool { return store.failedWrites.Load() > 0 })
	}
	for _, store := range stores {
		store.noSnapshots.Store(false)
	}
	ids = append(ids, submitJobs(t, nodes, "later", 30)...)
	for n, store := range stores {
		eventually(t, n.name+" wrote a snapshot", func() bool {
			loaded, err := store.Load()
			return err == nil && loaded.Snapshot.Index > uint64(20)
		})
		wantJobs(t, n, ids)
	}
}

// TestFullDisk_ArchiveFails checks that a replica that cannot archive an ended job stops, and
// archives the job after a restart with space, because the other replicas still have it.
func TestFullDisk_ArchiveFails(t *testing.T) {
	nodes, stores := newFullDiskNodes(t)
	ids := submitJobs(t, nodes, "job", 3)
	leader := leaderOf(t, nodes)
	full := without(nodes, leader)[0]
	stores[full].noArchive.Store(true)
	rest := without(nodes, full)
	answer, err := callUntilAnswered[protocol.CancelRequest, protocol.JobAnswer](t, newClient(t), rest, protocol.MethodCancel, protocol.CancelRequest{ID: ids[0]})
	if err != nil || answer.Status.State != api.StateCancelled {
		t.Fatalf("cancel a job: got %+v, error %v, want state cancelled", answer.Status, err)
	}
	wantStoppedByFullDisk(t, full)
	stores[full].noArchive.Store(false)
	full.crash()
	full.start()
	wantJobs(t, full, ids)
	if _, known, err := full.store.Archive().Get(ids[0]); err != nil || !known {
		t.Fatalf("read the ended job from the archive: got found %v, error %v, want true and nil", known, err)
	}
}
