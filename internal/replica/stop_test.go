package replica

import (
	"context"
	"io"
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

// stoppingStore has its replica stopped while the founding snapshot is saved, and
// counts the synced saves that come after it. They are all made by one goroutine.
type stoppingStore struct {
	*storage.Memory
	stop  context.CancelFunc
	after int
}

func (s *stoppingStore) SaveSnapshot(meta raft.SnapshotMeta, keepEntries uint64, write func(io.Writer) error) error {
	s.stop()
	return s.Memory.SaveSnapshot(meta, keepEntries, write)
}

func (s *stoppingStore) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	if sync {
		s.after++
	}
	return s.Memory.Save(hardState, entries, sync)
}

// TestRun_StopBeginsNoFurtherSave: a busy disk may take seconds for each sync, so a
// stop waits for the one under way only. A replica alone would next stand for
// election and save its vote.
func TestRun_StopBeginsNoFurtherSave(t *testing.T) {
	m := newMachines(t, 1)[0]
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	store := &stoppingStore{Memory: storage.NewMemory(1), stop: stop}
	m.store = store
	client := rpc.NewClient(rpc.ClientConfig{})
	defer client.Close()
	if err := m.newReplica(client).Run(ctx); err != nil {
		t.Fatal(err)
	}
	if ctx.Err() == nil || store.after != 0 {
		t.Errorf("%d synced saves after the stop (%v), want none", store.after, ctx.Err())
	}
}
