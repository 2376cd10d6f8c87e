package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// TestReadIndex_UnderLeaseCoversCommittedAndApplied guards against a read index below an
// acknowledged entry. The published commit index and applied index are read separately, and
// an acknowledged entry is covered by the larger of them.
func TestReadIndex_UnderLeaseCoversCommittedAndApplied(t *testing.T) {
	for name, c := range map[string]struct{ commit, applied, want uint64 }{
		"applied index below the commit index": {50, 40, 50},
		"applied index above the commit index": {40, 50, 50},
	} {
		t.Run(name, func(t *testing.T) {
			r := &reader{published: newTestPublished(t), mailbox: newMailbox()}
			r.published.update(raft.Status{Role: raft.RoleLeader, Term: 3, TermReady: true, LeaseUntil: time.Hour, Commit: c.commit})
			r.published.applied.advance(c.applied)
			if got, err := r.readIndex(t.Context()); err != nil || got != c.want {
				t.Errorf("got read index %d, error %v; want %d", got, err, c.want)
			}
		})
	}
}

func TestReadIndex_FollowerIsNotLeader(t *testing.T) {
	r := &reader{published: newTestPublished(t), mailbox: newMailbox()}
	if _, err := r.readIndex(t.Context()); !errors.Is(err, ErrNotLeader) {
		t.Errorf("got %v, want ErrNotLeader", err)
	}
	if err := r.barrier(t.Context()); !errors.Is(err, ErrNotLeader) {
		t.Errorf("barrier without a known leader: got %v, want ErrNotLeader", err)
	}
}
