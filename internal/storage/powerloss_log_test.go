package storage

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/wal"
)

const (
	powerLossDirectoryName = "d"
	powerLossSegmentSize   = 2048 // bytes
	powerLossSeeds         = 300
	powerLossRounds        = 8  // for each seed
	powerLossSteps         = 40 // in each round
)

// powerLossRun drives a log as raft does, and tracks every state that may be loaded
// after a power loss.
type powerLossRun struct {
	random *rand.Rand
	files  *powerLossFiles
	log    *diskLog
	// states has the state of the log after each step, oldest first. A restart may
	// find any of them from index oldestPossible on.
	states         []LoadedState
	oldestPossible int
	// newestHardState is the newest hard state of the replica. Its commit index may
	// not have been saved yet.
	newestHardState raft.HardState
	term            uint64
	faults          map[string]int
}

func (r *powerLossRun) latestState() LoadedState { return r.states[len(r.states)-1] }

func (r *powerLossRun) addState(state LoadedState) { r.states = append(r.states, state) }

// recordDurable records that the latest state, and so everything before it, is durable.
func (r *powerLossRun) recordDurable() { r.oldestPossible = len(r.states) - 1 }

// TestPowerLoss_LogRecovers guards against lost or mixed-up log content after a power
// loss: everything saved before a sync returned must be loaded, and the loaded state
// must be that after some step. Kills and power losses hit at random operations, also
// while the log is being opened.
func TestPowerLoss_LogRecovers(t *testing.T) {
	faults := make(map[string]int)
	for seed := range uint64(powerLossSeeds) {
		r := &powerLossRun{random: rand.New(rand.NewPCG(seed, 2)), files: newPowerLossFiles(seed), faults: faults}
		if err := r.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for _, fault := range []string{"killed", "all lost", "torn", "while opening", "tail truncated", "segment removed", "obsolete segment"} {
		if faults[fault] < 20 {
			t.Errorf("fault %q occurred %d times, want at least 20", fault, faults[fault])
		}
	}
}

func (r *powerLossRun) run() error {
	if err := wal.Create(logConfig(r.files, powerLossSegmentSize), "0123456789abcdef"); err != nil {
		return err
	}
	r.states = []LoadedState{{}}
	for round := range powerLossRounds {
		if err := r.open(); err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		r.files.failAfter = r.random.IntN(3 * powerLossSteps)
		for range powerLossSteps {
			if r.step() != nil {
				break
			}
		}
		r.injectFault()
	}
	return r.open()
}

// injectFault simulates a kill of the process or a power loss.
func (r *powerLossRun) injectFault() {
	switch r.random.IntN(4) {
	case 0:
		r.files.killProcess()
		r.faults["killed"]++
	case 1:
		r.files.loseAllUnsynced()
		r.faults["all lost"]++
	default:
		r.files.losePower()
		r.faults["torn"]++
	}
}

// open reopens the log and checks the loaded state. In one of three calls, a fault
// may interrupt a first attempt.
func (r *powerLossRun) open() error {
	r.files.failAfter = -1
	if r.random.IntN(3) == 0 {
		r.files.failAfter = r.random.IntN(4)
		if loaded, err := r.reopen(); err == nil {
			return r.check(loaded)
		}
		r.faults["while opening"]++
		r.injectFault()
	}
	loaded, err := r.reopen()
	if err != nil {
		return err
	}
	return r.check(loaded)
}

func (r *powerLossRun) reopen() (LoadedState, error) {
	numbers, err := wal.SegmentNumbers(r.files, powerLossDirectoryName)
	if err != nil {
		return LoadedState{}, err
	}
	config := logConfig(r.files, powerLossSegmentSize)
	config.Logger = slog.New(slog.NewTextHandler(faultCounter(r.faults), nil))
	if r.log, err = openDiskLog(config); err != nil {
		return LoadedState{}, err
	}
	remaining, err := wal.SegmentNumbers(r.files, powerLossDirectoryName)
	if err != nil {
		return LoadedState{}, err
	}
	if len(remaining) < len(numbers) && remaining[0] > numbers[0] {
		r.faults["obsolete segment"]++
	}
	return r.log.Load()
}

// faultCounter counts the repairs that the log reports to its logger.
type faultCounter map[string]int

func (c faultCounter) Write(line []byte) (int, error) {
	for text, fault := range map[string]string{"torn log tail": "tail truncated", "unfinished segment": "segment removed"} {
		if strings.Contains(string(line), text) {
			c[fault]++
		}
	}
	return len(line), nil
}

// check requires the loaded state to be one of the possible states, and continues the
// run from it.
func (r *powerLossRun) check(loaded LoadedState) error {
	r.files.failAfter = -1
	found := slices.ContainsFunc(r.states[r.oldestPossible:], func(state LoadedState) bool { return matchesState(loaded, state) })
	if !found {
		return fmt.Errorf("loaded state is none of the possible ones (-possible +loaded):\n%s", cmp.Diff(r.states[r.oldestPossible], loaded))
	}
	r.states, r.oldestPossible = []LoadedState{loaded}, 0
	r.newestHardState = loaded.HardState
	r.newestHardState.Commit = max(r.newestHardState.Commit, loaded.Snapshot.Index)
	r.term = max(r.term, loaded.HardState.Term)
	return nil
}

// matchesState reports whether the loaded state equals state. Entries covered by the
// snapshot may be missing from the start of the loaded log.
func matchesState(loaded, state LoadedState) bool {
	isCovered := func(entry raft.Entry) bool { return entry.Index <= state.Snapshot.Index }
	required := slices.DeleteFunc(slices.Clone(state.Entries), isCovered)
	if len(loaded.Entries) < len(required) || len(loaded.Entries) > len(state.Entries) {
		return false
	}
	expected := state.Entries[len(state.Entries)-len(loaded.Entries):]
	return loaded.HardState == state.HardState && slices.EqualFunc(loaded.Entries, expected, equalEntries) &&
		cmp.Equal(loaded.Snapshot, state.Snapshot) && bytes.Equal(loaded.SnapshotData, state.SnapshotData)
}

func equalEntries(a, b raft.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

func (r *powerLossRun) step() error {
	switch n := r.random.IntN(20); {
	case n == 0:
		return r.takeSnapshot()
	case n == 1:
		return r.installSnapshot()
	default:
		return r.save()
	}
}

// save saves what one raft Ready may contain: entries that extend the log or replace
// uncommitted ones, a hard state, or both.
func (r *powerLossRun) save() error {
	state := r.latestState()
	var hardState *raft.HardState
	last := state.lastIndex()
	if r.random.IntN(8) == 0 {
		r.term++
		r.newestHardState.Term, r.newestHardState.VotedFor = r.term, raft.ReplicaID(fmt.Sprint("voter-", r.random.IntN(3)))
	}
	var newEntries []raft.Entry
	if r.random.IntN(4) > 0 {
		first := last + 1
		if r.random.IntN(6) == 0 && last > r.newestHardState.Commit {
			first -= r.random.Uint64N(last - r.newestHardState.Commit)
		}
		for range 1 + r.random.IntN(4) {
			newEntries = append(newEntries, raft.Entry{Index: first + uint64(len(newEntries)), Term: max(r.newestHardState.Term, 1), Data: r.randomData()})
		}
		last = newEntries[len(newEntries)-1].Index
	}
	sync := r.random.IntN(4) > 0
	if sync && last > r.newestHardState.Commit && r.random.IntN(2) == 0 {
		r.newestHardState.Commit += r.random.Uint64N(last - r.newestHardState.Commit + 1)
	}
	if r.newestHardState != state.HardState {
		newest := r.newestHardState
		hardState = &newest
	}
	voted := r.newestHardState.Term != state.HardState.Term || r.newestHardState.VotedFor != state.HardState.VotedFor
	if sync || voted || len(newEntries) > 0 {
		state.HardState = r.newestHardState
	}
	state.Entries = slices.DeleteFunc(slices.Clone(state.Entries), func(entry raft.Entry) bool {
		return len(newEntries) > 0 && entry.Index >= newEntries[0].Index
	})
	state.Entries = append(state.Entries, newEntries...)
	r.addState(state)
	if err := r.log.Save(hardState, newEntries, sync); err != nil {
		return err
	}
	if sync || voted {
		r.recordDurable()
	}
	return nil
}

// randomData returns random bytes, in one of 50 calls more than fit in a segment.
func (r *powerLossRun) randomData() []byte {
	length := 1 + r.random.IntN(200)
	if r.random.IntN(50) == 0 {
		length = 2 * powerLossSegmentSize
	}
	data := make([]byte, length)
	for i := range data {
		data[i] = byte(r.random.Uint32())
	}
	return data
}

// saveDurably saves the newest hard state and syncs the log, as a replica does before
// it takes or installs a snapshot.
func (r *powerLossRun) saveDurably() error {
	state := r.latestState()
	state.HardState = r.newestHardState
	r.addState(state)
	if err := r.log.Save(&r.newestHardState, nil, true); err != nil {
		return err
	}
	r.recordDurable()
	return nil
}

// takeSnapshot saves a snapshot at the commit index, if the log has that entry and it is
// newer than the last snapshot. A fault may leave the log with or without the entries that
// the snapshot discards.
func (r *powerLossRun) takeSnapshot() error {
	if err := r.saveDurably(); err != nil {
		return err
	}
	state := r.latestState()
	position := slices.IndexFunc(state.Entries, func(entry raft.Entry) bool { return entry.Index == r.newestHardState.Commit })
	if position < 0 || state.Entries[position].Index <= state.Snapshot.Index {
		return nil
	}
	retainEntries := r.random.Uint64N(5)
	state.Snapshot = raft.SnapshotMeta{Index: state.Entries[position].Index, Term: state.Entries[position].Term}
	state.SnapshotData = r.randomData()
	r.addState(state)
	state.Entries = slices.DeleteFunc(slices.Clone(state.Entries), func(entry raft.Entry) bool {
		return entry.Index+retainEntries <= state.Snapshot.Index
	})
	r.addState(state)
	write := func(w io.Writer) error { _, err := w.Write(state.SnapshotData); return err }
	if err := r.log.SaveSnapshot(state.Snapshot, retainEntries, write); err != nil {
		return err
	}
	r.recordDurable()
	return nil
}

// installSnapshot installs a snapshot that is newer than all entries of the log.
func (r *powerLossRun) installSnapshot() error {
	if err := r.saveDurably(); err != nil {
		return err
	}
	state := r.latestState()
	state.Snapshot = raft.SnapshotMeta{Index: state.lastIndex() + 1 + r.random.Uint64N(9), Term: max(r.newestHardState.Term, 1)}
	state.SnapshotData = r.randomData()
	state.Entries = nil
	r.newestHardState.Commit = state.Snapshot.Index
	r.addState(state)
	if err := r.log.InstallSnapshot(state.Snapshot, strings.NewReader(string(state.SnapshotData))); err != nil {
		return err
	}
	r.recordDurable()
	return nil
}
