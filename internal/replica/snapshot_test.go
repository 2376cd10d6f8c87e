package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestSnapshot_SentToLaggingFollower(t *testing.T) {
	machines := newMachines(t, 3)
	for _, m := range machines {
		m.snapshotEvery = 10
	}
	startAll(machines)
	leader := leaderOf(t, machines...)
	lagging := without(machines, leader)[0]
	lagging.crash()
	names := workerNameRange(100)
	for _, name := range names {
		proposeRegistration(t, name, without(machines, lagging)...)
	}
	lagging.start()
	if got := workerNames(t, lagging); !slices.Equal(got, names) {
		t.Fatalf("lagging follower: got %d workers, want %d", len(got), len(names))
	}
	if loaded, err := lagging.store.Load(); err != nil || loaded.Snapshot.Index <= bootstrapIndex {
		t.Fatalf("lagging follower: got snapshot at index %d, error %v, want one after the first", loaded.Snapshot.Index, err)
	}
}

// TestSnapshot_TakenWhenEntryBytesReachBound guards against a log that grows without bound
// when few but large entries are appended.
func TestSnapshot_TakenWhenEntryBytesReachBound(t *testing.T) {
	machines := newMachines(t, 1)
	m := machines[0]
	m.useDisk(t.TempDir())
	m.start()
	leader := leaderOf(t, m)
	long := strings.Repeat("x", 256<<10)
	for i := range 80 { // 20 MiB, more than twice the default SnapshotBytes
		proposeRegistration(t, fmt.Sprint(long, i%2), leader)
	}
	eventually(t, "a second snapshot", func() bool {
		meta, data, ok, err := m.store.OpenSnapshot()
		if err != nil || !ok {
			return false
		}
		_ = data.Close()
		return meta.Index > 40
	})
}
