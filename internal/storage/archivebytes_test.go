package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

// TestArchive_OldestEndCoversBytes: both archives name the oldest jobs that take so many
// bytes, and take less once they are dropped.
func TestArchive_OldestEndCoversBytes(t *testing.T) {
	forEachStore(t, func(t *testing.T, s Store, reopen func() Store) {
		t.Helper()
		archive := s.Archive()
		if end, count, err := archive.OldestEnd(1, 9); err != nil || end != 0 || count != 0 {
			t.Fatalf("empty archive: %d, %d, %v", end, count, err)
		}
		for i := range 2000 {
			requireNoError(t, archive.Put([]record.ArchivedJob{{ID: fmt.Sprintf("job-%d", i*7919%2000), Index: 1, EndedAt: record.Millis(100 + i)}}))
		}
		requireNoError(t, archive.Sync())
		archive = reopen().Archive()
		if end, count, err := archive.OldestEnd(1, 9); err != nil || end != 100 || count != 1 {
			t.Fatalf("the oldest job: %d, %d, %v", end, count, err)
		}
		if end, count, err := archive.OldestEnd(1<<40, 500); err != nil || end != 599 || count != 500 {
			t.Fatalf("the 500 oldest: %d, %d, %v", end, count, err)
		}
		held := archive.Bytes()
		_, err := archive.Expire(1600, 1500)
		requireNoError(t, err)
		requireNoError(t, archive.Sync())
		if left := reopen().Archive().Bytes(); left <= 0 || left > held*3/4 {
			t.Fatalf("%d bytes are left of %d after three quarters of the jobs were dropped", left, held)
		}
	})
}

// TestArchive_FileSizeBounded: while the oldest jobs are dropped beyond a bound of
// bytes, the file itself is bounded, however many jobs pass through: bbolt writes
// copies of changed pages before it frees the old ones, which are at most all.
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
		for over := archive.Bytes() - bound; over > 0; over = archive.Bytes() - bound {
			end, count, err := archive.OldestEnd(over, batch)
			requireNoError(t, err)
			if dropped, err := archive.Expire(end+1, batch); err != nil || dropped != count {
				t.Fatalf("%d dropped of %d, %v", dropped, count, err)
			}
		}
	}
	info, err := os.Stat(filepath.Join(directory, archiveFile))
	requireNoError(t, err)
	if info.Size() > 2*(bound+archiveGrowth) {
		t.Fatalf("the file takes %d bytes with a bound of %d", info.Size(), bound)
	}
	t.Logf("the file takes %d bytes, %d in use", info.Size(), archive.Bytes())
}
