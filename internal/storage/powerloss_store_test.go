package storage

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

const (
	storePowerLossSeeds  = 100
	storePowerLossRounds = 8
	storePowerLossSteps  = 30
)

// storePowerLossRun drives a complete store as a replica does, one ended job an entry,
// and knows what may never be lost: an entry once it was synced, and, of all
// that a snapshot leaves out, every job in the archive.
type storePowerLossRun struct {
	directory string
	random    *rand.Rand
	files     *powerLossDirectory
	store     *Disk
	faults    map[string]int
	// last is the newest entry handed over, synced the newest one that is
	// durable, applied the newest one whose job was put.
	last, synced, applied uint64
	// snapshot is the newest one that is durable.
	snapshot uint64
	// expired: jobs that ended before may be gone.
	expired record.Millis
}

// TestPowerLoss_StoreRecovers: a store opens after whatever a loss of power left of
// log, snapshot and archive, and what was acknowledged is in one of them.
func TestPowerLoss_StoreRecovers(t *testing.T) {
	faults := make(map[string]int)
	failed := 0
	for seed := range uint64(storePowerLossSeeds) {
		if err := newStorePowerLossRun(t.TempDir(), seed, faults).run(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
			failed++
		}
	}
	t.Logf("%d of %d seeds failed; faults: %v", failed, storePowerLossSeeds, faults)
	for _, fault := range []string{"killed", "all lost", "torn", "while opening", "tail truncated", "archive torn", "expired", "snapshot", "installed"} {
		if faults[fault] < 20 {
			t.Errorf("%q came %d times, want at least 20", fault, faults[fault])
		}
	}
}

func newStorePowerLossRun(directory string, seed uint64, faults map[string]int) *storePowerLossRun {
	files := &powerLossDirectory{powerLossFiles: newPowerLossFiles(seed), directory: directory}
	return &storePowerLossRun{directory: directory, random: rand.New(rand.NewPCG(seed, 3)), files: files, faults: faults}
}

func (r *storePowerLossRun) run() error {
	for round := range storePowerLossRounds {
		if err := r.open(); err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		r.files.failAfter = r.random.IntN(4 * storePowerLossSteps)
		r.files.failAtMeta = r.random.IntN(3) == 0
		for range storePowerLossSteps {
			if r.step() != nil {
				break
			}
		}
		if err := r.fault(); err != nil {
			return err
		}
	}
	return r.open()
}

// fault ends the process, at times with the power.
func (r *storePowerLossRun) fault() error {
	if r.store != nil {
		_ = r.store.archive.db.Close()
		_ = r.store.lock.Close()
		r.store = nil
	}
	switch r.random.IntN(4) {
	case 0:
		r.files.killProcess()
		r.faults["killed"]++
	case 1:
		r.files.loseAllUnsynced()
		r.faults["all lost"]++
	default:
		for _, node := range r.files.names {
			node.unsynced = tornPages(r.random, node.unsynced)
		}
		r.files.losePower()
		r.faults["torn"]++
	}
	return r.files.restore()
}

// open starts again, at times with faults during the start, and checks what is
// found.
func (r *storePowerLossRun) open() error {
	for r.random.IntN(3) == 0 {
		r.files.failAtMeta = r.random.IntN(2) == 0
		r.files.failAfter = r.random.IntN(12)
		if _, err := r.reopen(); err == nil {
			break // the start needed fewer steps
		}
		r.faults["while opening"]++
		if err := r.fault(); err != nil {
			return err
		}
	}
	r.files.failAfter, r.files.failAtMeta = -1, false
	if r.store != nil {
		if err := r.fault(); err != nil {
			return err
		}
	}
	loaded, err := r.reopen()
	if err != nil {
		return err
	}
	return r.check(loaded)
}

func (r *storePowerLossRun) reopen() (LoadedState, error) {
	logger := slog.New(slog.NewTextHandler(storeFaultCounter(r.faults), nil))
	store, err := OpenDisk(DiskConfig{Directory: r.directory, Logger: logger, files: r.files, segmentSize: powerLossSegmentSize})
	if err != nil {
		return LoadedState{}, err
	}
	r.store = store
	store.archive.db.NoSync = true // powerLossDirectory counts the syncs, real ones only take time
	loaded, err := store.Load()
	if err != nil {
		return loaded, err
	}
	return loaded, r.files.follow()
}

// storeFaultCounter counts what a start says that it repaired.
type storeFaultCounter map[string]int

func (c storeFaultCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "torn archive transaction") {
		c["archive torn"]++
	}
	return faultCounter(c).Write(line)
}

func (r *storePowerLossRun) check(loaded LoadedState) error {
	if loaded.last() < r.synced || loaded.Snapshot.Index < r.snapshot {
		return fmt.Errorf("log ends at %d and snapshot at %d, expected at least %d and %d", loaded.last(), loaded.Snapshot.Index, r.synced, r.snapshot)
	}
	if err := r.checkArchive(loaded.Snapshot.Index); err != nil {
		return err
	}
	r.snapshot = loaded.Snapshot.Index
	r.last, r.synced, r.applied = loaded.last(), loaded.last(), r.snapshot
	return r.apply(loaded.last())
}

// checkArchive: each job that the snapshot leaves out is there, by id and by
// index, and the file is consistent.
func (r *storePowerLossRun) checkArchive(snapshot uint64) error {
	archive := r.store.archive
	err := archive.view(func(tx *bbolt.Tx) error {
		for err := range tx.Check() {
			return err
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("archive: %w", err)
	}
	paged, err := archive.Page(0, "", int(r.last)+100)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	for _, job := range paged {
		listed[job.ID] = true
	}
	for index := max(uint64(r.expired), 1); index <= snapshot; index++ {
		id := powerLossJob(index).ID
		job, known, err := archive.Get(id)
		if err != nil || !known || job.Index != index || !listed[id] {
			return fmt.Errorf("job %s, hidden by the snapshot at %d: known %v, listed %v, %w", id, snapshot, known, listed[id], err)
		}
	}
	return nil
}

func powerLossJob(index uint64) record.ArchivedJob {
	tasks := make([]record.ArchivedTask, index%40)
	return record.ArchivedJob{
		ID: fmt.Sprintf("job-%d", index*7919%10007), Index: index, EndedAt: record.Millis(index),
		Steps: []record.ArchivedStep{{Tasks: tasks}},
	}
}

func (r *storePowerLossRun) step() error {
	switch n := r.random.IntN(20); {
	case n == 0:
		return r.takeSnapshot()
	case n == 1:
		return r.install()
	case n == 2:
		return r.expire()
	case n < 6:
		return r.syncArchive()
	default:
		return r.save()
	}
}

// save hands entries over, and applies what is durable.
func (r *storePowerLossRun) save() error {
	var made []raft.Entry
	for range 1 + r.random.IntN(4) {
		r.last++
		made = append(made, raft.Entry{Index: r.last, Term: 1, Data: bytesOf(r.random, 1+r.random.IntN(200))})
	}
	sync := r.random.IntN(4) > 0
	if err := r.store.Save(nil, made, sync); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	r.synced = r.last
	return r.apply(r.last)
}

func bytesOf(random *rand.Rand, length int) []byte {
	data := make([]byte, length)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}

// apply puts the jobs that ended up to an index.
func (r *storePowerLossRun) apply(index uint64) error {
	var jobs []record.ArchivedJob
	for r.applied < index {
		r.applied++
		jobs = append(jobs, powerLossJob(r.applied))
	}
	return r.store.archive.Put(jobs)
}

func (r *storePowerLossRun) syncArchive() error {
	if err := r.store.archive.Sync(); err != nil {
		return err
	}
	return r.files.follow()
}

func (r *storePowerLossRun) takeSnapshot() error {
	if err := r.syncArchive(); err != nil {
		return err
	}
	meta := raft.SnapshotMeta{Index: r.applied, Term: 1}
	if err := r.store.SaveSnapshot(meta, r.random.Uint64N(5), writeText("state")); err != nil {
		return err
	}
	r.snapshot = r.applied
	r.faults["snapshot"]++
	return nil
}

// install copies the archive of another replica and then takes its snapshot.
func (r *storePowerLossRun) install() error {
	index := r.last + 1 + r.random.Uint64N(9)
	if err := r.apply(index); err != nil {
		return err
	}
	if err := r.syncArchive(); err != nil {
		return err
	}
	if err := r.store.InstallSnapshot(raft.SnapshotMeta{Index: index, Term: 1}, strings.NewReader("state")); err != nil {
		return err
	}
	r.last, r.synced, r.snapshot = index, index, index
	r.faults["installed"]++
	return nil
}

// expire drops jobs that a durable snapshot hides.
func (r *storePowerLossRun) expire() error {
	if r.snapshot < 20 {
		return nil
	}
	if err := r.syncArchive(); err != nil {
		return err
	}
	r.expired = max(r.expired, record.Millis(r.snapshot-20))
	if _, err := r.store.archive.Expire(r.expired, 1+r.random.IntN(50)); err != nil {
		return err
	}
	r.faults["expired"]++
	return r.files.follow()
}
