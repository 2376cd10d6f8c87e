package wal

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// testSegmentSize holds a few batches of testEntries.
const testSegmentSize = 2048

func testConfig(t *testing.T) Config {
	t.Helper()
	return Config{
		Files:       datafile.OS{},
		Directory:   t.TempDir(),
		Logger:      slog.New(slog.DiscardHandler),
		SegmentSize: testSegmentSize,
	}
}

// createTestLog creates and opens a log. It is abandoned at the end of the test.
func createTestLog(t *testing.T, config Config) *Log {
	t.Helper()
	if err := Create(config, "0123456789abcdef"); err != nil {
		t.Fatal(err)
	}
	log, _ := openTestLog(t, config)
	return log
}

func openTestLog(t *testing.T, config Config) (*Log, []raft.Entry) {
	t.Helper()
	log, entries, err := Open(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Abandon() })
	return log, entries
}

// testEntries returns entries of term 1 with 100 bytes of data each.
func testEntries(first, last uint64) []raft.Entry {
	var entries []raft.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, raft.Entry{Index: index, Term: 1, Data: fmt.Appendf(nil, "%0100d", index)})
	}
	return entries
}

// appendEntries appends the test entries in synced batches of up to 4.
func appendEntries(t *testing.T, log *Log, first, last uint64) {
	t.Helper()
	for index := first; index <= last; index += 4 {
		if err := log.Append(Batch{Entries: testEntries(index, min(index+3, last))}, true); err != nil {
			t.Fatal(err)
		}
	}
}

func TestLog_ReopenFindsStateAndEntries(t *testing.T) {
	config := testConfig(t)
	log := createTestLog(t, config)
	hardState := raft.HardState{Term: 3, VotedFor: "b", Commit: 9}
	if err := log.Append(Batch{HardState: &hardState}, true); err != nil {
		t.Fatal(err)
	}
	appendEntries(t, log, 1, 60)
	if err := log.Append(Batch{Entries: testEntries(50, 52)}, true); err != nil { // replaces 50 to 60
		t.Fatal(err)
	}
	state := log.State()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	reopened, entries := openTestLog(t, config)
	if diff := cmp.Diff(testEntries(1, 52), entries); diff != "" {
		t.Error(diff)
	}
	if reopened.State() != state || state.HardState != hardState || state.LastIndex != 52 || reopened.ReplicaID() != "0123456789abcdef" {
		t.Errorf("got state %+v, want %+v with last index 52", reopened.State(), state)
	}
	if reopened.NewestSegment() < 3 {
		t.Errorf("got newest segment %d, want at least 3", reopened.NewestSegment())
	}
	reread, err := reopened.ReadEntries()
	if err != nil || !cmp.Equal(entries, reread) {
		t.Errorf("entries read again: error %v, difference %s", err, cmp.Diff(entries, reread))
	}
}

func TestLog_SnapshotRecordAllowsSegmentRemoval(t *testing.T) {
	config := testConfig(t)
	log := createTestLog(t, config)
	appendEntries(t, log, 1, 100)
	oldest, bytes := log.OldestNeeded(60)
	if oldest <= FirstSegment || oldest >= log.NewestSegment() || bytes != int64(log.NewestSegment()-oldest+1)*testSegmentSize {
		t.Fatalf("got oldest needed segment %d of %d with %d bytes, want one after the first and before the newest, and the bytes from it on", oldest, log.NewestSegment(), bytes)
	}
	batch, err := NewSnapshotBatch(SnapshotRecord{Index: 60, Term: 1, FirstIndex: 61, FirstSegment: oldest, ArchiveTransaction: 7})
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(log.Append(batch, true), log.RemoveBefore(oldest)); err != nil {
		t.Fatal(err)
	}
	numbers, err := SegmentNumbers(config.Files, config.Directory)
	if err != nil || numbers[0] != oldest {
		t.Errorf("got segments %v, %v, want the oldest needed one first", numbers, err)
	}
	reopened, entries := openTestLog(t, config)
	if diff := cmp.Diff(testEntries(61, 100), entries); diff != "" {
		t.Error(diff)
	}
	want := State{SnapshotIndex: 60, SnapshotTerm: 1, FirstIndex: 61, LastIndex: 100, FirstSegment: oldest, ArchiveTransaction: 7}
	if got := reopened.State(); got != want {
		t.Errorf("got state %+v, want %+v", got, want)
	}
}

func TestOldestNeeded_SegmentNeededUntilLastEntryDiscarded(t *testing.T) {
	log := createTestLog(t, testConfig(t))
	appendEntries(t, log, 1, 100)
	last := log.segments[0].lastIndex
	if oldest, _ := log.OldestNeeded(last - 1); oldest != FirstSegment {
		t.Errorf("entries up to %d discarded: got oldest needed segment %d, want %d", last-1, oldest, FirstSegment)
	}
	if oldest, _ := log.OldestNeeded(last); oldest != FirstSegment+1 {
		t.Errorf("entries up to %d discarded: got oldest needed segment %d, want %d", last, oldest, FirstSegment+1)
	}
	if oldest, _ := log.OldestNeeded(100); oldest != log.NewestSegment() {
		t.Errorf("all entries discarded: got oldest needed segment %d, want the newest, %d", oldest, log.NewestSegment())
	}
}

func TestOpen_WithoutSegmentRejected(t *testing.T) {
	var corrupt *datafile.CorruptError
	if _, _, err := Open(testConfig(t)); !errors.As(err, &corrupt) || filepath.Base(corrupt.File) != SegmentName(FirstSegment) {
		t.Errorf("got %v, want a CorruptError that names %s", err, SegmentName(FirstSegment))
	}
}

func TestSegmentNumbers_OnlySegmentsInOrder(t *testing.T) {
	config := testConfig(t)
	for _, name := range []string{
		SegmentName(300), SegmentName(2), SegmentName(16), SegmentName(1) + datafile.UnfinishedSuffix,
		"log-1.wal", "log-000000000000000G.wal", "log-00000000000000AB.wal", "snapshot",
	} {
		if err := os.WriteFile(filepath.Join(config.Directory, name), nil, datafile.FilePermission); err != nil {
			t.Fatal(err)
		}
	}
	numbers, err := SegmentNumbers(config.Files, config.Directory)
	if err != nil || !slices.Equal(numbers, []uint64{2, 16, 300}) {
		t.Errorf("got segments %v, %v, want 2, 16 and 300", numbers, err)
	}
}
