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

// Commits whose sources wrote earlier forms, with testdata/earlier/maker_test.go.
const (
	// bboltLogCommit kept the log in bbolt. Its snapshots and archived jobs have
	// none of the fields that are left out while empty.
	bboltLogCommit = "45979ff"
	// firstWALCommit is the first with a write-ahead log, whose snapshot notes do
	// not name a transaction of the archive.
	firstWALCommit = "2bc5c00"
)

// earlierJobs are the jobs of the earlier forms.
var earlierJobs = []string{"chain", "ended", "failed", "waiting", "gang", "endless", "cancelled", "stopping"}

func earlier(name string) string { return filepath.Join("earlier", name) }

// TestEarlierCommands_AreAppliedTheSame applies commands of earlier sources, and
// encodes them again.
func TestEarlierCommands_AreAppliedTheSame(t *testing.T) {
	for _, commit := range []string{bboltLogCommit, firstWALCommit} {
		t.Run(commit, func(t *testing.T) {
			machine := newMachine(emptyStore(t))
			for i, line := range strings.Fields(string(readGolden(t, earlier(commit+".commands.txt")))) {
				data, err := hex.DecodeString(line)
				if err != nil {
					t.Fatal(err)
				}
				encodesTheSame(t, data)
				// The first entry of the log is the snapshot that founds a cluster.
				if _, err := machine.Apply(uint64(i)+2, data); err != nil {
					t.Fatal(err)
				}
			}
			sameGolden(t, earlier(commit+".applied.json"), viewOf(t, machine, earlierJobs))
		})
	}
}

// emptyStore opens a new data folder for the time of the test.
func emptyStore(t *testing.T) *storage.Disk {
	t.Helper()
	store, err := storage.OpenDisk(storage.DiskConfig{Directory: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store
}

// encodesTheSame decodes a command and encodes it again.
func encodesTheSame(t *testing.T, data []byte) {
	t.Helper()
	command, err := record.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := record.Encode(command)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, again) {
		t.Errorf("written as\n%s\nexpected\n%s", diagnose(again), diagnose(data))
	}
}

// TestEarlierSnapshot_IsReadAndWrittenTheSame restores snapshots of earlier
// sources, and writes them again.
func TestEarlierSnapshot_IsReadAndWrittenTheSame(t *testing.T) {
	for _, commit := range []string{bboltLogCommit, firstWALCommit} {
		t.Run(commit, func(t *testing.T) {
			machine := newMachine(emptyStore(t))
			snapshot := readGolden(t, earlier(commit+".snapshot"))
			if err := machine.Restore(bytes.NewReader(snapshot)); err != nil {
				t.Fatal(err)
			}
			sameGolden(t, earlier(commit+".restored.json"), viewOf(t, machine, earlierJobs))
			sameSnapshot(t, snapshot, snapshotOf(t, machine))
		})
	}
}

// TestEarlierFolder_IsRead opens the data folder of the first sources that had a
// write-ahead log.
func TestEarlierFolder_IsRead(t *testing.T) {
	store, loaded := openFolder(t, golden(earlier(firstWALCommit+folderSuffix)))
	t.Cleanup(func() { _ = store.Close() })
	sameGolden(t, earlier(firstWALCommit+loadedSuffix), []byte(describeLoaded(t, loaded)))
	sameGolden(t, earlier(firstWALCommit+".replayed.json"), viewOf(t, replay(t, store, loaded), earlierJobs))
}

// TestEarlierLog_IsRefused: a folder whose log is kept in bbolt is not taken for a
// new one, and is left as it is.
func TestEarlierLog_IsRefused(t *testing.T) {
	directory := unpackFolder(t, golden(earlier(bboltLogCommit+folderSuffix)))
	before := fileNames(t, directory)
	if _, err := storage.OpenDisk(storage.DiskConfig{Directory: directory}); !errors.Is(err, storage.ErrEarlierFormat) {
		t.Fatalf("opened with %v, expected %v", err, storage.ErrEarlierFormat)
	}
	if after := fileNames(t, directory); after != before {
		t.Errorf("the folder has %s, expected %s", after, before)
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

// sameGolden compares with a golden file, which -update writes.
func sameGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(golden(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	sameText(t, readGolden(t, name), got)
}
