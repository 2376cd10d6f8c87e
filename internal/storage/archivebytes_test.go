package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

// TestArchive_OldestEndCoversBytes checks that OldestEnd of both archives selects the
// oldest jobs that cover the given bytes, and that Bytes shrinks once jobs have expired.
func TestArchive_OldestEndCoversBytes(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		archive := s.Archive()
		if end, count, err := archive.OldestEnd(1, 9); err != nil || end != 0 || count != 0 {
			t.Fatalf("OldestEnd of an empty archive: got end %d, count %d, error %v, want 0, 0, nil", end, count, err)
		}
		for i := range 2000 {
			requireNoError(t, archive.Put([]record.ArchivedJob{{ID: fmt.Sprintf("job-%d", i*7919%2000), Index: 1, EndedAt: record.Millis(100 + i)}}))
		}
		requireNoError(t, archive.Sync())
		archive = reopen().Archive()
		if end, count, err := archive.OldestEnd(1, 9); err != nil || end != 100 || count != 1 {
			t.Fatalf("OldestEnd for 1 byte: got end %d, count %d, error %v, want 100, 1, nil", end, count, err)
		}
		if end, count, err := archive.OldestEnd(1<<40, 500); err != nil || end != 599 || count != 500 {
			t.Fatalf("OldestEnd with a limit of 500 jobs: got end %d, count %d, error %v, want 599, 500, nil", end, count, err)
		}
		sizeBefore := archive.Bytes()
		_, err := archive.Expire(1600, 1500)
		requireNoError(t, err)
		requireNoError(t, archive.Sync())
		if sizeAfter := reopen().Archive().Bytes(); sizeAfter <= 0 || sizeAfter > sizeBefore*3/4 {
			t.Fatalf("got %d bytes after expiry of three quarters of the jobs, want more than 0 and at most 3/4 of %d", sizeAfter, sizeBefore)
		}
	})
}

// TestArchive_FileSizeBounded guards against a file that grows without limit while the
// oldest jobs are expired to keep Bytes within a bound. The file may take twice the
// bound: bbolt writes copies of changed pages before it frees the old ones, and a
// transaction may change every page.
func TestArchive_FileSizeBounded(t *testing.T) {
	const bound, jobs, batch = 2 << 20, 12_000, 1000
	directory := t.TempDir()
	d := openStore(t, directory)
	defer func() { _ = d.Close() }()
	archive := d.Archive()
	for i := range jobs {
		job := record.ArchivedJob{ID: fmt.Sprintf("job-%d", i*7919%jobs), Index: 1, EndedAt: record.Millis(i)}
		job.Steps = []record.ArchivedStep{{Tasks: make([]record.ArchivedTask, i%40)}}
		requireNoError(t, archive.Put([]record.ArchivedJob{job}))
		if i%batch != 0 {
			continue
		}
		requireNoError(t, archive.Sync())
		for excess := archive.Bytes() - bound; excess > 0; excess = archive.Bytes() - bound {
			end, count, err := archive.OldestEnd(excess, batch)
			requireNoError(t, err)
			if dropped, err := archive.Expire(end+1, batch); err != nil || dropped != count {
				t.Fatalf("Expire: got %d jobs, want %d, error %v", dropped, count, err)
			}
		}
	}
	info, err := os.Stat(filepath.Join(directory, archiveFile))
	requireNoError(t, err)
	if info.Size() > 2*(bound+archiveGrowthBytes) {
		t.Fatalf("got a file of %d bytes with a bound of %d on the pages in use", info.Size(), bound)
	}
	t.Logf("file size %d bytes, %d bytes in use", info.Size(), archive.Bytes())
}
