package storage

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Memory is a Store for tests. It keeps what was synced apart from what was not;
// Crash loses the latter, as a loss of power does. Close does nothing, so that a
// test can start another replica on it.
type Memory struct {
	id      raft.ReplicaID
	archive *MemoryArchive

	mutex    sync.Mutex
	synced   memoryState
	unsynced []unsyncedWrite
}

var _ Store = (*Memory)(nil)

// memoryState is what a disk would hold.
type memoryState struct {
	used         bool
	hardState    raft.HardState
	snapshot     raft.SnapshotMeta
	snapshotData []byte // nil if there is no snapshot
	entries      []raft.Entry
}

// unsyncedWrite is one call of Save.
type unsyncedWrite struct {
	hardState *raft.HardState
	entries   []raft.Entry
}

// NewMemory returns an empty store whose replica id depends on seed.
func NewMemory(seed int64) *Memory {
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	return &Memory{
		id:      raft.ReplicaID(fmt.Sprintf("%016x", random.Uint64())),
		archive: NewMemoryArchive(),
	}
}

// Crash drops all that was not synced, in the archive as well.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.unsynced = nil
	m.archive.Crash()
}

// ReplicaID implements Store.
func (m *Memory) ReplicaID() raft.ReplicaID { return m.id }

// Empty implements Store.
func (m *Memory) Empty() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.synced.used && len(m.unsynced) == 0
}

// Load implements Store.
func (m *Memory) Load() (LoadedState, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.synced
	state.entries = slices.Clone(state.entries)
	for _, save := range m.unsynced {
		state.apply(save)
	}
	loaded := LoadedState{
		HardState:    state.hardState,
		Snapshot:     state.snapshot,
		SnapshotData: state.snapshotData,
		Entries:      state.entries,
	}
	return loaded, checkLoaded("memory", loaded)
}

// Save implements Store.
func (m *Memory) Save(hardState *raft.HardState, entries []raft.Entry, sync bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	save := unsyncedWrite{entries: slices.Clone(entries)}
	if hardState != nil {
		copied := *hardState
		save.hardState = &copied
	}
	m.unsynced = append(m.unsynced, save)
	if sync {
		m.sync()
	}
	return nil
}

func (m *Memory) sync() {
	for _, save := range m.unsynced {
		m.synced.apply(save)
	}
	m.unsynced = nil
}

func (s *memoryState) apply(save unsyncedWrite) {
	s.used = true
	if save.hardState != nil {
		s.hardState = *save.hardState
	}
	if len(save.entries) == 0 {
		return
	}
	first := save.entries[0].Index
	for len(s.entries) > 0 && s.entries[len(s.entries)-1].Index >= first {
		s.entries = s.entries[:len(s.entries)-1]
	}
	s.entries = append(s.entries, save.entries...)
}

// SaveSnapshot implements Store.
func (m *Memory) SaveSnapshot(meta raft.SnapshotMeta, retainEntries uint64, write func(io.Writer) error) error {
	var data bytes.Buffer
	if err := write(&data); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sync()
	if m.synced.snapshotData != nil && m.synced.snapshot.Index >= meta.Index {
		return nil
	}
	m.synced.setSnapshot(meta, data.Bytes())
	if meta.Index > retainEntries {
		m.synced.entries = slices.DeleteFunc(slices.Clone(m.synced.entries), func(entry raft.Entry) bool {
			return entry.Index <= meta.Index-retainEntries
		})
	}
	return nil
}

func (s *memoryState) setSnapshot(meta raft.SnapshotMeta, data []byte) {
	s.used = true
	s.snapshot = meta
	s.snapshotData = append([]byte{}, data...)
}

// InstallSnapshot implements Store.
func (m *Memory) InstallSnapshot(meta raft.SnapshotMeta, data io.Reader) error {
	content, err := io.ReadAll(data)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sync()
	m.synced.setSnapshot(meta, content)
	m.synced.entries = nil
	return nil
}

// OpenSnapshot implements Store.
func (m *Memory) OpenSnapshot() (raft.SnapshotMeta, io.ReadCloser, bool, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.synced.snapshotData == nil {
		return raft.SnapshotMeta{}, nil, false, nil
	}
	return m.synced.snapshot, io.NopCloser(bytes.NewReader(m.synced.snapshotData)), true, nil
}

// Archive implements Store.
func (m *Memory) Archive() record.Archive { return m.archive }

// Close implements Store.
func (m *Memory) Close() error { return nil }
