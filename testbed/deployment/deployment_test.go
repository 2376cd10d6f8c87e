package deployment

import (
	"strings"
	"testing"
)

func TestNew_FleetHasStatedSizeAndDistinctAddresses(t *testing.T) {
	owners := map[string]string{}
	for instance, name := range []string{"restrepo", "cartago", "restrepo"} {
		d, err := New(name, instance)
		if err != nil {
			t.Fatal(err)
		}
		want := map[Role]int{RoleScheduler: 3, RoleFront: 4, RoleAgent: 11, RoleWorker: 11}
		for role, count := range want {
			if got := len(d.ByRole(role)); got != count {
				t.Errorf("%s: got %d processes of role %s, want %d", name, got, role, count)
			}
		}
		for _, process := range d.Processes {
			if process.Role == RoleWorker {
				continue
			}
			for _, address := range []string{process.Address, process.AdvertiseAddress} {
				if other, taken := owners[address]; taken && address != "" {
					t.Errorf("%s: address %s is already used by %s, want a distinct address", process.Name, address, other)
				}
				owners[address] = process.Name
			}
		}
		zones := map[string]bool{}
		for _, scheduler := range d.ByRole(RoleScheduler) {
			zones[scheduler.Zone] = true
		}
		if len(zones) != Zones {
			t.Errorf("%s: got schedulers in %d zones, want %d", name, len(zones), Zones)
		}
	}
}

func TestNew_WorkerHasAgentOfItsZone(t *testing.T) {
	d, err := New("restrepo", 0)
	if err != nil {
		t.Fatal(err)
	}
	agents := d.ByRole(RoleAgent)
	for i, worker := range d.ByRole(RoleWorker) {
		if worker.Agent != agents[i].URL() || worker.Zone != agents[i].Zone {
			t.Errorf("%s in %s: got agent %s, want %s in %s", worker.Name, worker.Zone, worker.Agent, agents[i].URL(), agents[i].Zone)
		}
	}
	if got := agents[0].Address; !strings.HasPrefix(got, "127.1.3.1:") {
		t.Errorf("address of the first agent: got %s, want 127.1.3.1 with a port", got)
	}
}

func TestNew_UnknownNameOrInstanceIsRejected(t *testing.T) {
	if _, err := New("nowhere", 0); err == nil {
		t.Error("unknown name: got no error, want an error")
	}
	if _, err := New("restrepo", MaxInstance+1); err == nil {
		t.Error("instance above MaxInstance: got no error, want an error")
	}
}
