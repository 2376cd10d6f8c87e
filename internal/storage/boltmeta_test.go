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

// damageMeta changes a byte in the meta page that holds a transaction, as a
// torn write of it leaves it.
func damageMeta(t *testing.T, directory string, transaction uint64) {
	t.Helper()
	path := filepath.Join(directory, archiveFile)
	content, err := os.ReadFile(path)
	requireNoError(t, err)
	at := int(transaction%boltMetaPages)*os.Getpagesize() + boltPageHeader + boltChecksumAt
	content[at] ^= 1
	requireNoError(t, os.WriteFile(path, content, datafile.FilePermission))
}

// TestArchive_DamagedMetaPage: the newest transaction of the archive may be torn while
// the log has all that was in it, and must be there once a snapshot leaves it
// out, also when both metas are damaged.
func TestArchive_DamagedMetaPage(t *testing.T) {
	for _, c := range []struct {
		name             string
		snapshot, refuse bool
		damaged          []uint64 // back from the newest transaction
	}{
		{name: "newest, in the log", damaged: []uint64{0}},
		{name: "newest, left out by the snapshot", snapshot: true, damaged: []uint64{0}, refuse: true},
		{name: "older, left out by the snapshot", snapshot: true, damaged: []uint64{1}},
		{name: "both", damaged: []uint64{0, 1}, refuse: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := t.TempDir()
			d := openStore(t, directory)
			requireNoError(t, d.Save(&raft.HardState{Term: 1}, entries(1, 4, 1), true))
			for index := range uint64(4) {
				job := record.ArchivedJob{ID: fmt.Sprintf("job-%d", index), Index: index + 1}
				requireNoError(t, d.Archive().Put([]record.ArchivedJob{job}))
				requireNoError(t, d.Archive().Sync())
			}
			if c.snapshot {
				requireNoError(t, d.SaveSnapshot(raft.SnapshotMeta{Index: 4, Term: 1}, 0, writeText("state")))
			}
			newest := d.archive.transaction()
			requireNoError(t, d.Close())
			for _, back := range c.damaged {
				damageMeta(t, directory, newest-back)
			}
			d, err := OpenDisk(DiskConfig{Directory: directory})
			if c.refuse {
				if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), archiveFile) {
					t.Fatalf("got %v, want ErrCorrupt naming %s", err, archiveFile)
				}
				return
			}
			requireNoError(t, err)
			held, err := d.Archive().List("", 9)
			requireNoError(t, err)
			if want := 4 - 1 + int(c.damaged[0]); len(held) != want {
				t.Fatalf("%d jobs are left, want %d", len(held), want)
			}
			requireNoError(t, d.Close())
			requireNoError(t, openStore(t, directory).Close())
		})
	}
}
