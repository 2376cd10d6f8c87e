package fleet

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/testaddress"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/netem"
)

// testInstance is the deployment instance of the tests. They listen on none of its
// addresses, as another fleet of that instance may run on the machine.
const testInstance = 24

// testFleet returns a fleet with empty files as programs, which are never started.
func testFleet(t *testing.T, calls *calllog.Log) *Fleet {
	t.Helper()
	d, err := deployment.New("cartago", testInstance)
	if err != nil {
		t.Fatal(err)
	}
	binaries := t.TempDir()
	for _, role := range []string{"scheduler", "front", "agent", "worker"} {
		if err := os.WriteFile(filepath.Join(binaries, programPrefix+role), nil, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	f, err := New(Config{Deployment: d, Directory: t.TempDir(), Binaries: binaries, CallLog: calls})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func TestSettingsFile_ContainsNoListenAddressOfPeers(t *testing.T) {
	f := testFleet(t, &calllog.Log{})
	for _, process := range f.processes {
		data, err := os.ReadFile(process.settings)
		if err != nil {
			t.Fatal(err)
		}
		for _, other := range f.processes {
			own := process == other || other.Spec.Address == ""
			if !own && strings.Contains(string(data), other.Spec.Address) {
				t.Errorf("settings of %s contain the listen address of %s, want its advertised address", process.Spec.Name, other.Spec.Name)
			}
		}
	}
	if agent := f.AgentOf(f.Process("worker-04")); agent == nil || f.workerOf(agent.Spec) != "worker-04" {
		t.Errorf("got agent %+v of worker-04, want the agent whose worker is worker-04", agent)
	}
}

func TestZoneLinks_EachHasSchedulerAtOneEnd(t *testing.T) {
	f := testFleet(t, &calllog.Log{})
	inside, outside := len(f.InZone("zone-1", true)), len(f.InZone("zone-1", false))
	// Of the three schedulers one is inside. The two pairs of it and a scheduler outside are
	// in both products, so they are subtracted once.
	want := 2 * (2*inside + outside - 2)
	if links := f.ZoneLinks("zone-1"); len(links) != want || inside+outside != len(f.processes) {
		t.Errorf("got %d links between %d processes inside and %d outside, want %d", len(links), inside, outside, want)
	}
	schedulers := f.ByRole(deployment.RoleScheduler)
	if got := len(LinksBetween(schedulers, schedulers)); got != 12 {
		t.Errorf("got %d links among three schedulers, want 12: each direction of each pair twice", got)
	}
}

func TestPartition_IsRecordedWithBothEnds(t *testing.T) {
	calls := &calllog.Log{}
	f := testFleet(t, calls)
	for _, process := range f.processes {
		if process.Spec.AdvertiseAddress != "" {
			process.Spec.AdvertiseAddress = testaddress.New(t)
		}
	}
	if err := f.openNetwork(); err != nil {
		t.Fatal(err)
	}
	f.Partition(netem.Link{From: "scheduler-01", To: "agent-02"})()
	var actions []calllog.Action
	for _, entry := range calls.Entries() {
		if entry.Process != "scheduler-01" || entry.Peer != "agent-02" {
			t.Errorf("got entry %+v, want process scheduler-01 and peer agent-02", entry)
		}
		actions = append(actions, entry.Action)
	}
	if !slices.Equal(actions, []calllog.Action{calllog.ActionPartition, calllog.ActionHeal}) {
		t.Errorf("got actions %v, want a partition and its end", actions)
	}
}
