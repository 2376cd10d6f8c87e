package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/storage/datafile"
)

// damageMeta flips a bit of the checksum in the meta page of a transaction, as a torn
// write might.
func damageMeta(t *testing.T, directory string, transaction uint64) {
	t.Helper()
	damageMetaPage(t, directory, transaction, boltPageHeaderSize+boltChecksumOffset)
}

// damageMetaHeader damages the page header in front of the meta of a transaction, which bbolt
// does not check.
func damageMetaHeader(t *testing.T, directory string, transaction uint64) {
	t.Helper()
	damageMetaPage(t, directory, transaction, boltPageHeaderSize-1)
}

// damageMetaPage flips a bit at an offset in the meta page of a transaction.
func damageMetaPage(t *testing.T, directory string, transaction uint64, offset int) {
	t.Helper()
	path := filepath.Join(directory, archiveFile)
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	content[int(transaction%boltMetaPages)*os.Getpagesize()+offset] ^= 1
	requireNoError(t, os.WriteFile(path, content, datafile.FilePermission))
}

// TestArchive_PowerLossWhileMetaHeaderIsRepaired guards against an archive that cannot be
// opened: the newest meta page has a torn header, and the transaction that repairs it, which
// goes to the other meta page, is torn too.
func TestArchive_PowerLossWhileMetaHeaderIsRepaired(t *testing.T) {
	directory := t.TempDir()
	d := openStore(t, directory)
	requireNoError(t, d.Save(&raft.HardState{Term: 1}, testEntries(1, 4, 1), true))
	requireNoError(t, d.Archive().Put([]record.ArchivedJob{{ID: "job", Index: 4}}))
	requireNoError(t, d.SaveSnapshot(raft.SnapshotMeta{Index: 4, Term: 1}, 0, writeText("state")))
	requireNoError(t, d.Archive().Sync())
	newest := d.archive.newestTransaction()
	requireNoError(t, d.Close())
	damageMetaHeader(t, directory, newest)
	damageMeta(t, directory, newest+1)
	d, err := OpenDisk(DiskConfig{Directory: directory})
	requireNoError(t, err)
	if archived, err := d.Archive().List("", 9); err != nil || len(archived) != 1 {
		t.Errorf("got jobs %v, error %v, want the one archived job", archived, err)
	}
	requireNoError(t, d.Close())
	file, err := os.Open(filepath.Join(directory, archiveFile))
	requireNoError(t, err)
	defer func() { _ = file.Close() }()
	if torn, err := checkBoltMetas(archiveFile, file, 0); torn != nil || err != nil {
		t.Errorf("got damage %v, error %v after the archive was opened, want both meta pages repaired", torn, err)
	}
}

// TestArchive_DamagedMetaPage guards against the loss of archived jobs by a torn meta
// page. The archive may lose its newest transaction while the log still has the jobs
// in it. It must be rejected once a snapshot has left these jobs out, and whenever
// both meta pages are damaged.
func TestArchive_DamagedMetaPage(t *testing.T) {
	for _, c := range []struct {
		name                  string
		snapshot, wantCorrupt bool
		damagedMetas          []uint64 // transactions, counted back from the newest one
	}{
		{name: "newest, in the log", damagedMetas: []uint64{0}},
		{name: "newest, left out by the snapshot", snapshot: true, damagedMetas: []uint64{0}, wantCorrupt: true},
		{name: "older, left out by the snapshot", snapshot: true, damagedMetas: []uint64{1}},
		{name: "both", damagedMetas: []uint64{0, 1}, wantCorrupt: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := t.TempDir()
			d := openStore(t, directory)
			requireNoError(t, d.Save(&raft.HardState{Term: 1}, testEntries(1, 4, 1), true))
			for index := range uint64(4) {
				job := record.ArchivedJob{ID: fmt.Sprintf("job-%d", index), Index: index + 1}
				requireNoError(t, d.Archive().Put([]record.ArchivedJob{job}))
				requireNoError(t, d.Archive().Sync())
			}
			if c.snapshot {
				requireNoError(t, d.SaveSnapshot(raft.SnapshotMeta{Index: 4, Term: 1}, 0, writeText("state")))
			}
			newest := d.archive.newestTransaction()
			requireNoError(t, d.Close())
			for _, back := range c.damagedMetas {
				damageMeta(t, directory, newest-back)
			}
			d, err := OpenDisk(DiskConfig{Directory: directory})
			if c.wantCorrupt {
				if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), archiveFile) {
					t.Fatalf("got %v, want ErrCorrupt naming %s", err, archiveFile)
				}
				return
			}
			requireNoError(t, err)
			archived, err := d.Archive().List("", 9)
			requireNoError(t, err)
			if want := 4 - 1 + int(c.damagedMetas[0]); len(archived) != want {
				t.Fatalf("got %d jobs, want %d", len(archived), want)
			}
			requireNoError(t, d.Close())
			requireNoError(t, openStore(t, directory).Close())
		})
	}
}
