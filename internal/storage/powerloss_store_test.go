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
	storePowerLossRounds = 8  // for each seed
	storePowerLossSteps  = 30 // in each round
)

// storePowerLossRun drives a complete store as a replica does, with one ended job for
// each log entry. It tracks what must not be lost: every synced entry, and every job
// that a snapshot leaves out, which must be in the archive.
type storePowerLossRun struct {
	directory string
	random    *rand.Rand
	files     *powerLossDirectory
	store     *Disk
	faults    map[string]int
	// lastIndex is the index of the newest entry passed to Save, syncedIndex that of
	// the newest durable entry, and appliedIndex that of the newest entry whose job
	// was put into the archive.
	lastIndex, syncedIndex, appliedIndex uint64
	// snapshotIndex is the index of the newest durable snapshot.
	snapshotIndex uint64
	// expiredBefore is the newest expiry limit: jobs that ended before it may be
	// missing.
	expiredBefore record.Millis
}

// TestPowerLoss_StoreRecovers guards against a power loss that leaves log, snapshot and
// archive inconsistent with each other: the store must open, and acknowledged entries
// and jobs must be in one of the three. Kills and power losses hit at random
// operations, at the sync of a meta page of the archive, and while the store is opened.
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
			t.Errorf("fault %q occurred %d times, want at least 20", fault, faults[fault])
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
		r.files.failAtMetaSync = r.random.IntN(3) == 0
		for range storePowerLossSteps {
			if r.step() != nil {
				break
			}
		}
		if err := r.injectFault(); err != nil {
			return err
		}
	}
	return r.open()
}

// injectFault closes the store without saving and simulates a kill of the process or a
// power loss.
func (r *storePowerLossRun) injectFault() error {
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
			node.unsynced = splitPageWrites(r.random, node.unsynced)
		}
		r.files.losePower()
		r.faults["torn"]++
	}
	return r.files.restoreArchive()
}

// open reopens the store and checks the loaded state. At random, faults interrupt
// earlier attempts.
func (r *storePowerLossRun) open() error {
	for r.random.IntN(3) == 0 {
		r.files.failAtMetaSync = r.random.IntN(2) == 0
		r.files.failAfter = r.random.IntN(12)
		if _, err := r.reopen(); err == nil {
			break // opening took no more operations than failAfter allows
		}
		r.faults["while opening"]++
		if err := r.injectFault(); err != nil {
			return err
		}
	}
	r.files.failAfter, r.files.failAtMetaSync = -1, false
	if r.store != nil {
		if err := r.injectFault(); err != nil {
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
	store.archive.db.NoSync = true // powerLossDirectory simulates the syncs; real ones would only take time
	loaded, err := store.Load()
	if err != nil {
		return loaded, err
	}
	return loaded, r.files.mirrorArchive()
}

// storeFaultCounter counts the repairs that the store reports to its logger.
type storeFaultCounter map[string]int

func (c storeFaultCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "torn archive transaction") {
		c["archive torn"]++
	}
	return faultCounter(c).Write(line)
}

// check requires the loaded log, snapshot and archive to have everything durable, and
// applies the loaded entries again.
func (r *storePowerLossRun) check(loaded LoadedState) error {
	if loaded.lastIndex() < r.syncedIndex || loaded.Snapshot.Index < r.snapshotIndex {
		return fmt.Errorf("log ends at %d and snapshot at %d, expected at least %d and %d", loaded.lastIndex(), loaded.Snapshot.Index, r.syncedIndex, r.snapshotIndex)
	}
	if err := r.checkArchive(loaded.Snapshot.Index); err != nil {
		return err
	}
	r.snapshotIndex = loaded.Snapshot.Index
	r.lastIndex, r.syncedIndex, r.appliedIndex = loaded.lastIndex(), loaded.lastIndex(), r.snapshotIndex
	return r.apply(loaded.lastIndex())
}

// checkArchive requires the archive file to be consistent and to have each job that the
// snapshot leaves out, both by id and in index order, unless the job may have expired.
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
	jobs, err := archive.Page(0, "", int(r.lastIndex)+100)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	for _, job := range jobs {
		listed[job.ID] = true
	}
	for index := max(uint64(r.expiredBefore), 1); index <= snapshot; index++ {
		id := powerLossJob(index).ID
		job, found, err := archive.Get(id)
		if err != nil || !found || job.Index != index || !listed[id] {
			return fmt.Errorf("job %s, left out by the snapshot at %d: found %v, listed %v, error %w", id, snapshot, found, listed[id], err)
		}
	}
	return nil
}

// powerLossJob returns the job that ended with the entry at an index. Its end time in
// milliseconds equals the index.
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
		return r.installSnapshot()
	case n == 2:
		return r.expire()
	case n < 6:
		return r.syncArchive()
	default:
		return r.save()
	}
}

// save saves new entries and, if they are synced, applies them.
func (r *storePowerLossRun) save() error {
	var newEntries []raft.Entry
	for range 1 + r.random.IntN(4) {
		r.lastIndex++
		newEntries = append(newEntries, raft.Entry{Index: r.lastIndex, Term: 1, Data: randomBytes(r.random, 1+r.random.IntN(200))})
	}
	sync := r.random.IntN(4) > 0
	if err := r.store.Save(nil, newEntries, sync); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	r.syncedIndex = r.lastIndex
	return r.apply(r.lastIndex)
}

func randomBytes(random *rand.Rand, length int) []byte {
	data := make([]byte, length)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}

// apply puts the jobs of all entries up to an index that have not been applied yet into
// the archive.
func (r *storePowerLossRun) apply(index uint64) error {
	var jobs []record.ArchivedJob
	for r.appliedIndex < index {
		r.appliedIndex++
		jobs = append(jobs, powerLossJob(r.appliedIndex))
	}
	return r.store.archive.Put(jobs)
}

func (r *storePowerLossRun) syncArchive() error {
	if err := r.store.archive.Sync(); err != nil {
		return err
	}
	return r.files.mirrorArchive()
}

// takeSnapshot syncs the archive and then saves a snapshot at the applied index.
func (r *storePowerLossRun) takeSnapshot() error {
	if err := r.syncArchive(); err != nil {
		return err
	}
	meta := raft.SnapshotMeta{Index: r.appliedIndex, Term: 1}
	if err := r.store.SaveSnapshot(meta, r.random.Uint64N(5), writeText("state")); err != nil {
		return err
	}
	r.snapshotIndex = r.appliedIndex
	r.faults["snapshot"]++
	return nil
}

// installSnapshot installs a newer snapshot. Before that it puts the jobs that the
// snapshot leaves out into the archive, which stands for a copy of another replica's
// archive.
func (r *storePowerLossRun) installSnapshot() error {
	index := r.lastIndex + 1 + r.random.Uint64N(9)
	if err := r.apply(index); err != nil {
		return err
	}
	if err := r.syncArchive(); err != nil {
		return err
	}
	if err := r.store.InstallSnapshot(raft.SnapshotMeta{Index: index, Term: 1}, strings.NewReader("state")); err != nil {
		return err
	}
	r.lastIndex, r.syncedIndex, r.snapshotIndex = index, index, index
	r.faults["installed"]++
	return nil
}

// expire deletes at most 50 of the jobs that ended more than 20 entries before the
// newest durable snapshot.
func (r *storePowerLossRun) expire() error {
	if r.snapshotIndex < 20 {
		return nil
	}
	if err := r.syncArchive(); err != nil {
		return err
	}
	r.expiredBefore = max(r.expiredBefore, record.Millis(r.snapshotIndex-20))
	if _, err := r.store.archive.Expire(r.expiredBefore, 1+r.random.IntN(50)); err != nil {
		return err
	}
	r.faults["expired"]++
	return r.files.mirrorArchive()
}
