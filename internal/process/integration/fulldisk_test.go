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

// boundedStore is a store on a disk that can be full.
type boundedStore struct {
	*storage.Memory
	// full makes all writes fail, the others only those of one kind.
	full         atomic.Bool
	noSnapshots  atomic.Bool
	noArchive    atomic.Bool
	failedWrites atomic.Int64
}

// write fails if the disk is full, or for this kind of write.
func (s *boundedStore) write(kind *atomic.Bool) error {
	if s.full.Load() || kind.Load() {
		s.failedWrites.Add(1)
		return &os.PathError{Op: "write", Path: "data/log-0000000000000001.wal", Err: syscall.ENOSPC}
	}
	return nil
}

func (s *boundedStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if err := s.write(&s.full); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrNoSpace, err)
	}
	return s.Memory.Save(hardState, entries, sync)
}

func (s *boundedStore) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	if err := s.write(&s.noSnapshots); err != nil {
		return err
	}
	return s.Memory.SaveSnapshot(meta, keepEntries, write)
}

func (s *boundedStore) InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error {
	if err := s.write(&s.noSnapshots); err != nil {
		return err
	}
	return s.Memory.InstallSnapshot(meta, data)
}

func (s *boundedStore) Archive() record.Archive {
	return boundedArchive{Archive: s.Memory.Archive(), store: s}
}

type boundedArchive struct {
	record.Archive
	store *boundedStore
}

func (a boundedArchive) Put(jobs []record.ArchivedJob) error {
	if err := a.store.write(&a.store.noArchive); err != nil {
		return err
	}
	return a.Archive.Put(jobs)
}

// boundedNodes starts three nodes on such stores.
func boundedNodes(t *testing.T) ([]*node, map[*node]*boundedStore) {
	t.Helper()
	nodes := newNodes(t, 3)
	stores := map[*node]*boundedStore{}
	for i, n := range nodes {
		stores[n] = &boundedStore{Memory: storage.NewMemory(int64(i + 1))}
		n.store, n.snapshotEvery = stores[n], 20
	}
	startAll(nodes)
	request := protocol.PutConfigRequest{OrderID: "first", Config: taggedConfig("first")}
	if _, err := callUntilAnswered[protocol.PutConfigRequest, protocol.PutConfigAnswer](t, newClient(t), nodes, protocol.MethodPutConfig, request); err != nil {
		t.Fatal(err)
	}
	return nodes, stores
}

// submitJobs submits jobs until each is acknowledged by one of the nodes.
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

// wantStoppedFull waits for a node that stops by itself, and checks what its
// program would say.
func wantStoppedFull(t *testing.T, n *node) {
	t.Helper()
	err := n.result()
	if !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("%s ended with %v, want %v", n.name, err, syscall.ENOSPC)
	}
	command := &cobra.Command{Use: "program", RunE: func(*cobra.Command, []string) error { return err }}
	command.SetArgs([]string{})
	var stderr bytes.Buffer
	if code := daemon.Execute(t.Context(), command, &stderr); code != daemon.ExitFailure {
		t.Errorf("exit code %d, want %d", code, daemon.ExitFailure)
	}
	if line := stderr.String(); strings.Count(line, "\n") != 1 || !strings.Contains(line, "no space left on device") {
		t.Errorf("said %q, want one line that names the cause", line)
	}
}

// wantJobs waits until the record of a node itself holds every job.
func wantJobs(t *testing.T, n *node, ids []string) {
	t.Helper()
	eventually(t, n.name+" holds all jobs", func() bool {
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

// wantNotParticipating waits until a write of a node has failed, and checks that the node
// keeps running, and neither leads nor counts for the quorum: with it and one other,
// nothing is acknowledged.
func wantNotParticipating(t *testing.T, full *node, store *boundedStore, nodes []*node) {
	t.Helper()
	eventually(t, full.name+" failed to write", func() bool { return store.failedWrites.Load() > 0 })
	rest := without(nodes, full)
	eventually(t, full.name+" leads no more", func() bool { return !full.leads() && leaderOf(t, rest) != nil })
	stopped := without(rest, leaderOf(t, rest))[0]
	stopped.crash()
	for deadline := time.Now().Add(fullDiskObservation); time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		request := protocol.SubmitRequest{ID: fmt.Sprintf("lonely-%d", time.Now().UnixNano()), Spec: taggedJob("first")}
		_, err := rpc.Call[protocol.SubmitRequest, protocol.SubmitAnswer](ctx, newClient(t), without(rest, stopped)[0].address, protocol.MethodSubmit, request)
		cancel()
		if err == nil {
			t.Fatalf("%s was acknowledged by a majority of which one has a full disk", request.ID)
		}
	}
	select {
	case err := <-full.ended:
		t.Fatalf("%s ended: %v", full.name, err)
	default:
	}
	stopped.start()
}

// fullDiskObservation is how long a node with a full disk is observed.
const fullDiskObservation = 1500 * time.Millisecond

// TestFullDisk_FollowerStopsParticipating: a follower does not participate while its disk
// is full, and participates again, without a restart, once there is space.
func TestFullDisk_FollowerStopsParticipating(t *testing.T) {
	nodes, stores := boundedNodes(t)
	ids := submitJobs(t, nodes, "before", 10)
	leader := leaderOf(t, nodes)
	full := without(nodes, leader)[0]
	stores[full].full.Store(true)
	rest := without(nodes, full)
	ids = append(ids, submitJobs(t, rest, "meanwhile", 50)...) // more than the log retains
	wantNotParticipating(t, full, stores[full], nodes)
	ids = append(ids, submitJobs(t, rest, "still", 10)...)
	stores[full].full.Store(false)
	wantJobs(t, full, ids)
	// It counts again: without another node it makes the majority.
	rest[1].crash()
	ids = append(ids, submitJobs(t, without(nodes, rest[1]), "after", 10)...)
	wantJobs(t, full, ids)
}

// TestFullDisk_StartWaits: a node that is started while its disk is full waits for space.
func TestFullDisk_StartWaits(t *testing.T) {
	nodes, stores := boundedNodes(t)
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

// TestFullDisk_StopSucceeds: a node whose disk is full can be stopped.
func TestFullDisk_StopSucceeds(t *testing.T) {
	nodes, stores := boundedNodes(t)
	full := without(nodes, leaderOf(t, nodes))[0]
	stores[full].full.Store(true)
	submitJobs(t, without(nodes, full), "meanwhile", 3)
	eventually(t, "a write failed", func() bool { return stores[full].failedWrites.Load() > 0 })
	full.stop()
}

// TestFullDisk_LeaderLosesLeadership fills the leader's disk while callers submit jobs, and
// checks that whatever was acknowledged is kept.
func TestFullDisk_LeaderLosesLeadership(t *testing.T) {
	nodes, stores := boundedNodes(t)
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
	eventually(t, "some jobs acknowledged", func() bool {
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

// TestFullDisk_SnapshotsFail: a snapshot only saves space; without it a replica works on.
func TestFullDisk_SnapshotsFail(t *testing.T) {
	nodes, stores := boundedNodes(t)
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

// TestFullDisk_ArchiveFails: an ended job that cannot be archived stops the replica; the
// others still have it.
func TestFullDisk_ArchiveFails(t *testing.T) {
	nodes, stores := boundedNodes(t)
	ids := submitJobs(t, nodes, "job", 3)
	leader := leaderOf(t, nodes)
	full := without(nodes, leader)[0]
	stores[full].noArchive.Store(true)
	rest := without(nodes, full)
	answer, err := callUntilAnswered[protocol.CancelRequest, protocol.JobAnswer](t, newClient(t), rest, protocol.MethodCancel, protocol.CancelRequest{ID: ids[0]})
	if err != nil || answer.Status.State != api.StateCancelled {
		t.Fatalf("cancelled: %+v, %v", answer.Status, err)
	}
	wantStoppedFull(t, full)
	stores[full].noArchive.Store(false)
	full.crash()
	full.start()
	wantJobs(t, full, ids)
	if _, known, err := full.store.Archive().Get(ids[0]); err != nil || !known {
		t.Fatalf("the ended job was archived: %v, %v", known, err)
	}
}
