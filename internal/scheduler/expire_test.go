package scheduler

import (
	"fmt"
	"io"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

// TestArchiveExpiry_OverSizeLimitDropsOldest: if the archive exceeds its size limit, the
// jobs that ended first must be dropped until it is within the limit. An archive within
// the limit must not add log entries.
func TestArchiveExpiry_OverSizeLimitDropsOldest(t *testing.T) {
	h := newHarness(t)
	h.leader.archiveBytes = 5000
	put := func(first, last int) {
		for i := first; i <= last; i++ {
			must(t, h.archive.Put([]record.ArchivedJob{{
				ID: fmt.Sprintf("job-%05d", i), Index: 1, EndedAt: h.log.clock + record.Millis(i),
			}}))
		}
	}
	put(1, 50)
	before := h.log.index
	h.leader.expireArchive()
	if h.log.index != before {
		t.Fatalf("archive within its size limit: got %d log entries, want none", h.log.index-before)
	}
	put(51, 80)
	sizeBefore := h.archive.Bytes()
	h.leader.expireArchive()
	if h.archive.Bytes() != sizeBefore || h.log.index != before+1 {
		t.Fatalf("got %d bytes and %d entries, want the size unchanged until a snapshot, and one entry that hides the oldest jobs", h.archive.Bytes(), h.log.index-before)
	}
	h.log.machine.Read(func(view record.View) {
		for id, want := range map[string]bool{"job-00030": false, "job-00031": true} {
			if _, known, err := view.Status(id, nil); err != nil || known != want {
				t.Errorf("job %s: got known %v, error %v, want known %v", id, known, err, want)
			}
		}
	})
	for range 3 { // a snapshot counts as durable once a later one is requested
		_, write, err := h.log.machine.Snapshot()
		must(t, err)
		must(t, write(io.Discard))
	}
	h.leader.expireArchive()
	if bytes := h.archive.Bytes(); bytes != 5000 {
		t.Fatalf("got %d bytes after the snapshot, want 5000", bytes)
	}
	if jobs, err := h.archive.List("", 1); err != nil || jobs[0].ID != "job-00031" {
		t.Fatalf("oldest job in the archive: got %v, %v, want job-00031", jobs, err)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
