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

// testInstance is that of the fleets of these tests, which listen on none of its
// addresses: a fleet that runs beside them may.
const testInstance = 24

// testFleet is a fleet of programs that are never started.
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

func TestSettingsFile_NamesForwardedAddressesOnly(t *testing.T) {
	f := testFleet(t, &calllog.Log{})
	for _, process := range f.processes {
		data, err := os.ReadFile(process.settings)
		if err != nil {
			t.Fatal(err)
		}
		for _, other := range f.processes {
			own := process == other || other.Spec.Address == ""
			if !own && strings.Contains(string(data), other.Spec.Address) {
				t.Errorf("%s is given the address of %s itself", process.Spec.Name, other.Spec.Name)
			}
		}
	}
	if agent := f.AgentOf(f.Process("worker-04")); agent == nil || f.workerOf(agent.Spec) != "worker-04" {
		t.Errorf("worker-04 has the agent %+v", agent)
	}
}

func TestZoneLinks_LeadToSchedulersInOtherZones(t *testing.T) {
	f := testFleet(t, &calllog.Log{})
	inside, outside := len(f.InZone("zone-1", true)), len(f.InZone("zone-1", false))
	// One scheduler inside and two outside; the link between two counts once.
	want := 2 * (2*inside + outside - 2)
	if links := f.ZoneLinks("zone-1"); len(links) != want || inside+outside != len(f.processes) {
		t.Errorf("%d links between %d and %d processes, want %d", len(links), inside, outside, want)
	}
	schedulers := f.ByRole(deployment.RoleScheduler)
	if got := len(LinksBetween(schedulers, schedulers)); got != 12 {
		t.Errorf("%d links among three schedulers, want each direction of each pair twice", got)
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
			t.Errorf("noted %+v", entry)
		}
		actions = append(actions, entry.Action)
	}
	if !slices.Equal(actions, []calllog.Action{calllog.ActionPartition, calllog.ActionHeal}) {
		t.Errorf("noted %v", actions)
	}
}
