package stored

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage"
)

// Commits with whose sources testdata/earlier/maker_test.go wrote earlier forms.
const (
	// bboltLogCommit stored the log in bbolt. Its snapshots and archived jobs have
	// none of the fields that are omitted when empty.
	bboltLogCommit = "45979ff"
	// firstWALCommit is the first commit with a write-ahead log. The log's snapshot
	// records do not yet contain the archive transaction.
	firstWALCommit = "2bc5c00"
)

// earlierJobs are the ids of the jobs in the earlier forms.
var earlierJobs = []string{"chain", "ended", "failed", "waiting", "gang", "endless", "cancelled", "stopping"}

func earlierFile(name string) string { return filepath.Join("earlier", name) }

// TestEarlierCommands_AppliedToSameState checks that commands encoded by earlier
// sources lead to the same state, and that encoding them again gives the same bytes.
func TestEarlierCommands_AppliedToSameState(t *testing.T) {
	for _, commit := range []string{bboltLogCommit, firstWALCommit} {
		t.Run(commit, func(t *testing.T) {
			machine := newMachine(openEmptyStore(t))
			for i, encoded := range strings.Fields(string(readGolden(t, earlierFile(commit+".commands.txt")))) {
				data, err := hex.DecodeString(encoded)
				if err != nil {
					t.Fatal(err)
				}
				checkReencoding(t, data)
				// The commands start at log index 2: index 1 belongs to the snapshot with which
				// a cluster begins.
				if _, err := machine.Apply(uint64(i)+2, data); err != nil {
					t.Fatal(err)
				}
			}
			compareGolden(t, earlierFile(commit+".applied.json"), viewOf(t, machine, earlierJobs))
		})
	}
}

// openEmptyStore opens a new data folder, and closes it at the end of the test.
func openEmptyStore(t *testing.T) *storage.Disk {
	t.Helper()
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store
}

// checkReencoding checks that decoding a command and encoding it again gives the same
// bytes.
func checkReencoding(t *testing.T, data []byte) {
	t.Helper()
	command, err := record.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, err := record.Encode(command)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, reencoded) {
		t.Errorf("re-encoded command: got\n%s\nwant\n%s", diagnose(reencoded), diagnose(data))
	}
}

// TestEarlierSnapshot_RestoredAndRewrittenUnchanged checks that snapshots of earlier
// sources are restored to the same state, and that writing that state as a snapshot
// gives the same bytes.
func TestEarlierSnapshot_RestoredAndRewrittenUnchanged(t *testing.T) {
	for _, commit := range []string{bboltLogCommit, firstWALCommit} {
		t.Run(commit, func(t *testing.T) {
			machine := newMachine(openEmptyStore(t))
			snapshot := readGolden(t, earlierFile(commit+".snapshot"))
			if err := machine.Restore(bytes.NewReader(snapshot)); err != nil {
				t.Fatal(err)
			}
			compareGolden(t, earlierFile(commit+".restored.json"), viewOf(t, machine, earlierJobs))
			compareSnapshot(t, snapshot, snapshotOf(t, machine))
		})
	}
}

// TestEarlierFolder_ReplayedToSameState checks that the data folder of the first sources
// with a write-ahead log is loaded, and replayed to the same state.
func TestEarlierFolder_ReplayedToSameState(t *testing.T) {
	store, loaded := openFolder(t, goldenPath(earlierFile(firstWALCommit+folderSuffix)))
	t.Cleanup(func() { _ = store.Close() })
	compareGolden(t, earlierFile(firstWALCommit+loadedSuffix), []byte(describeLoaded(t, loaded)))
	compareGolden(t, earlierFile(firstWALCommit+".replayed.json"), viewOf(t, replay(t, store, loaded), earlierJobs))
}

// TestEarlierLog_Rejected checks that a folder whose log is stored in bbolt is rejected
// rather than treated as new, and that no file in it is created or removed.
func TestEarlierLog_Rejected(t *testing.T) {
	directory := unpackFolder(t, goldenPath(earlierFile(bboltLogCommit+folderSuffix)))
	before := fileNames(t, directory)
	if _, err := storage.OpenDisk(storage.DiskConfig{Directory: directory}); !errors.Is(err, storage.ErrEarlierFormat) {
		t.Fatalf("OpenDisk: got error %v, want %v", err, storage.ErrEarlierFormat)
	}
	if after := fileNames(t, directory); after != before {
		t.Errorf("files in the folder: got %s, want %s", after, before)
	}
}

func fileNames(t *testing.T, directory string) string {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return strings.Join(names, " ")
}

// compareGolden compares got with a golden file. With -update it writes the file first.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(goldenPath(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	compareText(t, readGolden(t, name), got)
}
