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
	powerLossRounds        = 8
	powerLossSteps         = 40
)

// powerLossRun drives a log as raft does, and knows every state that its files may
// be found in after a loss of power.
type powerLossRun struct {
	random *rand.Rand
	files  *powerLossFiles
	log    *diskLog
	// states are what each step made of the log, oldest first; the files may
	// hold any of them from floor on.
	states         []LoadedState
	oldestPossible int
	// newest is the newest hard state handed over, committed or not.
	newest raft.HardState
	term   uint64
	faults map[string]int
}

func (r *powerLossRun) state() LoadedState { return r.states[len(r.states)-1] }

func (r *powerLossRun) add(state LoadedState) { r.states = append(r.states, state) }

// recordDurable records that a step returned and all up to it is durable.
func (r *powerLossRun) recordDurable() { r.oldestPossible = len(r.states) - 1 }

// TestPowerLoss_LogRecovers: whatever was saved before a sync returned is there after a
// loss of power, and what is there is the log as it stood after some step.
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
			t.Errorf("%q came %d times, want at least 20", fault, faults[fault])
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
		r.fault()
	}
	return r.open()
}

// fault ends the process, at times with the power.
func (r *powerLossRun) fault() {
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

// open starts again, at times with a fault during the start, and checks what is
// found.
func (r *powerLossRun) open() error {
	r.files.failAfter = -1
	if r.random.IntN(3) == 0 {
		r.files.failAfter = r.random.IntN(4)
		if loaded, err := r.reopen(); err == nil {
			return r.check(loaded)
		}
		r.faults["while opening"]++
		r.fault()
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
	left, err := wal.SegmentNumbers(r.files, powerLossDirectoryName)
	if err != nil {
		return LoadedState{}, err
	}
	if len(left) < len(numbers) && left[0] > numbers[0] {
		r.faults["obsolete segment"]++
	}
	return r.log.Load()
}

// faultCounter counts what the log says that it repaired.
type faultCounter map[string]int

func (c faultCounter) Write(line []byte) (int, error) {
	for text, fault := range map[string]string{"torn log tail": "tail truncated", "unfinished segment": "segment removed"} {
		if strings.Contains(string(line), text) {
			c[fault]++
		}
	}
	return len(line), nil
}

// check finds the state that was loaded among the possible ones, and continues
// from it.
func (r *powerLossRun) check(loaded LoadedState) error {
	r.files.failAfter = -1
	found := slices.ContainsFunc(r.states[r.oldestPossible:], func(state LoadedState) bool { return matchesState(loaded, state) })
	if !found {
		return fmt.Errorf("found a state that never was: %s", cmp.Diff(r.states[r.oldestPossible], loaded))
	}
	r.states, r.oldestPossible = []LoadedState{loaded}, 0
	r.newest = loaded.HardState
	r.newest.Commit = max(r.newest.Commit, loaded.Snapshot.Index)
	r.term = max(r.term, loaded.HardState.Term)
	return nil
}

// matchesState: entries that a snapshot covers may be forgotten or not.
func matchesState(loaded, state LoadedState) bool {
	covered := func(entry raft.Entry) bool { return entry.Index <= state.Snapshot.Index }
	needed := slices.DeleteFunc(slices.Clone(state.Entries), covered)
	if len(loaded.Entries) < len(needed) || len(loaded.Entries) > len(state.Entries) {
		return false
	}
	held := state.Entries[len(state.Entries)-len(loaded.Entries):]
	return loaded.HardState == state.HardState && slices.EqualFunc(loaded.Entries, held, sameEntry) &&
		cmp.Equal(loaded.Snapshot, state.Snapshot) && bytes.Equal(loaded.SnapshotData, state.SnapshotData)
}

func sameEntry(a, b raft.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

func (r *powerLossRun) step() error {
	switch n := r.random.IntN(20); {
	case n == 0:
		return r.snapshot()
	case n == 1:
		return r.install()
	default:
		return r.save()
	}
}

// save is one Ready: entries that extend the log or replace uncommitted ones, a hard
// state, or both.
func (r *powerLossRun) save() error {
	state := r.state()
	var hardState *raft.HardState
	last := state.last()
	if r.random.IntN(8) == 0 {
		r.term++
		r.newest.Term, r.newest.VotedFor = r.term, raft.ReplicaID(fmt.Sprint("voter-", r.random.IntN(3)))
	}
	var made []raft.Entry
	if r.random.IntN(4) > 0 {
		first := last + 1
		if r.random.IntN(6) == 0 && last > r.newest.Commit {
			first -= r.random.Uint64N(last - r.newest.Commit)
		}
		for range 1 + r.random.IntN(4) {
			made = append(made, raft.Entry{Index: first + uint64(len(made)), Term: max(r.newest.Term, 1), Data: r.data()})
		}
		last = made[len(made)-1].Index
	}
	sync := r.random.IntN(4) > 0
	if sync && last > r.newest.Commit && r.random.IntN(2) == 0 {
		r.newest.Commit += r.random.Uint64N(last - r.newest.Commit + 1)
	}
	if r.newest != state.HardState {
		newest := r.newest
		hardState = &newest
	}
	voted := r.newest.Term != state.HardState.Term || r.newest.VotedFor != state.HardState.VotedFor
	if sync || voted || len(made) > 0 {
		state.HardState = r.newest
	}
	state.Entries = slices.DeleteFunc(slices.Clone(state.Entries), func(entry raft.Entry) bool {
		return len(made) > 0 && entry.Index >= made[0].Index
	})
	state.Entries = append(state.Entries, made...)
	r.add(state)
	if err := r.log.Save(hardState, made, sync); err != nil {
		return err
	}
	if sync || voted {
		r.recordDurable()
	}
	return nil
}

// data is at times longer than a segment.
func (r *powerLossRun) data() []byte {
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

// persist makes all durable that was saved, as a replica has before it takes
// or installs a snapshot.
func (r *powerLossRun) persist() error {
	state := r.state()
	state.HardState = r.newest
	r.add(state)
	if err := r.log.Save(&r.newest, nil, true); err != nil {
		return err
	}
	r.recordDurable()
	return nil
}

func (r *powerLossRun) snapshot() error {
	if err := r.persist(); err != nil {
		return err
	}
	state := r.state()
	at := slices.IndexFunc(state.Entries, func(entry raft.Entry) bool { return entry.Index == r.newest.Commit })
	if at < 0 || state.Entries[at].Index <= state.Snapshot.Index {
		return nil
	}
	keep := r.random.Uint64N(5)
	state.Snapshot = raft.SnapshotMeta{Index: state.Entries[at].Index, Term: state.Entries[at].Term}
	state.SnapshotData = r.data()
	r.add(state)
	state.Entries = slices.DeleteFunc(slices.Clone(state.Entries), func(entry raft.Entry) bool {
		return entry.Index+keep <= state.Snapshot.Index
	})
	r.add(state)
	write := func(w io.Writer) error { _, err := w.Write(state.SnapshotData); return err }
	if err := r.log.SaveSnapshot(state.Snapshot, keep, write); err != nil {
		return err
	}
	r.recordDurable()
	return nil
}

func (r *powerLossRun) install() error {
	if err := r.persist(); err != nil {
		return err
	}
	state := r.state()
	state.Snapshot = raft.SnapshotMeta{Index: state.last() + 1 + r.random.Uint64N(9), Term: max(r.newest.Term, 1)}
	state.SnapshotData = r.data()
	state.Entries = nil
	r.newest.Commit = state.Snapshot.Index
	r.add(state)
	if err := r.log.InstallSnapshot(state.Snapshot, strings.NewReader(string(state.SnapshotData))); err != nil {
		return err
	}
	r.recordDurable()
	return nil
}
