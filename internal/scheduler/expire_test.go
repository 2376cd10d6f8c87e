package scheduler

import (
	"fmt"
	"io"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

// TestArchiveExpiry_OverSizeLimitDropsOldest: the oldest ended jobs are dropped until the archive
// is within its bytes, and an archive within them proposes nothing.
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
		t.Fatalf("%d entries for an archive within its bytes", h.log.index-before)
	}
	put(51, 80)
	sizeBefore := h.archive.Bytes()
	h.leader.expireArchive()
	if h.archive.Bytes() != sizeBefore || h.log.index != before+1 {
		t.Fatalf("%d bytes and %d entries, want them hidden by one entry and kept until a snapshot hides them", h.archive.Bytes(), h.log.index-before)
	}
	h.log.machine.Read(func(view record.View) {
		for id, want := range map[string]bool{"job-00030": false, "job-00031": true} {
			if _, known, err := view.Status(id, nil); err != nil || known != want {
				t.Errorf("%s is known: %v, %v, want %v", id, known, err, want)
			}
		}
	})
	for range 3 { // durable once another is asked for
		_, write, err := h.log.machine.Snapshot()
		must(t, err)
		must(t, write(io.Discard))
	}
	h.leader.expireArchive()
	if bytes := h.archive.Bytes(); bytes != 5000 {
		t.Fatalf("%d bytes are kept, want 5000", bytes)
	}
	if jobs, err := h.archive.List("", 1); err != nil || jobs[0].ID != "job-00031" {
		t.Fatalf("oldest kept: %v, %v", jobs, err)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
