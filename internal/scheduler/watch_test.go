package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
)

func TestWatchLeavesOutTheContentForThoseThatNeedNone(t *testing.T) {
	h := newHarness(t)
	for _, versionOnly := range []bool{false, true} {
		answer, err := h.leader.watch(t.Context(), fleet.WatchRequest{Process: "p", VersionOnly: versionOnly})
		if err != nil || answer.ConfigVersion != 1 || (answer.Config == nil) != versionOnly {
			t.Errorf("version only %v: %+v, %v", versionOnly, answer, err)
		}
	}
}

// TestHeldWatchesAreAnsweredAtAChange has processes that know the newest
// configuration wait for the next one.
func TestHeldWatchesAreAnsweredAtAChange(t *testing.T) {
	h := newHarness(t)
	const watchers = 20
	versions := make(chan uint64, watchers)
	held := make([]<-chan struct{}, watchers)
	for i := range watchers {
		request := fleet.WatchRequest{Process: string(rune('a' + i)), ConfigVersion: 1, Token: h.token}
		held[i] = h.leader.noteProcess(request)
		if held[i] == nil {
			t.Fatal("answered at once although nothing is new")
		}
		go func() {
			<-held[i]
			versions <- h.leader.watchAnswer(request).ConfigVersion
		}()
	}
	h.putConfig(api.Config{Queues: []api.QueueConfig{{Name: "q"}, {Name: "r"}}})
	for range watchers {
		select {
		case version := <-versions:
			if version != 2 {
				t.Fatalf("version %d, want 2", version)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a held watch was not answered at the change")
		}
	}
}
