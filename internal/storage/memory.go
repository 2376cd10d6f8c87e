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

// Memory is a Store for tests. It keeps unsynced writes separate from synced state;
// Crash discards the unsynced writes, as a power loss does. Close does nothing, so
// that a test can start another replica on the same store.
type Memory struct {
	id      raft.ReplicaID
	archive *MemoryArchive

	mutex    sync.Mutex
	synced   memoryState
	unsynced []unsyncedWrite
}

var _ Store = (*Memory)(nil)

// memoryState is the state that Disk would store in files.
type memoryState struct {
	used         bool // something was saved
	hardState    raft.HardState
	snapshot     raft.SnapshotMeta
	snapshotData []byte // nil if there is no snapshot
	entries      []raft.Entry
}

// unsyncedWrite has the arguments of one call of Save.
type unsyncedWrite struct {
	hardState *raft.HardState // nil if unchanged
	entries   []raft.Entry
}

// NewMemory returns an empty store whose replica id is derived from seed.
func NewMemory(seed int64) *Memory {
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	return &Memory{
		id:      raft.ReplicaID(fmt.Sprintf("%016x", random.Uint64())),
		archive: NewMemoryArchive(),
	}
}

// Crash discards all unsynced writes, also those of the archive.
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
	for _, write := range m.unsynced {
		state.apply(write)
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
	write := unsyncedWrite{entries: slices.Clone(entries)}
	if hardState != nil {
		copied := *hardState
		write.hardState = &copied
	}
	m.unsynced = append(m.unsynced, write)
	if sync {
		m.sync()
	}
	return nil
}

// sync applies all unsynced writes to the synced state. The caller holds mutex.
func (m *Memory) sync() {
	for _, write := range m.unsynced {
		m.synced.apply(write)
	}
	m.unsynced = nil
}

// apply applies one call of Save; its entries replace all stored entries from the
// index of the first on.
func (s *memoryState) apply(write unsyncedWrite) {
	s.used = true
	if write.hardState != nil {
		s.hardState = *write.hardState
	}
	if len(write.entries) == 0 {
		return
	}
	first := write.entries[0].Index
	for len(s.entries) > 0 && s.entries[len(s.entries)-1].Index >= first {
		s.entries = s.entries[:len(s.entries)-1]
	}
	s.entries = append(s.entries, write.entries...)
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
