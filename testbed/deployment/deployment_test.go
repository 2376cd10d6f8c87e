package deployment

import (
	"strings"
	"testing"
)

func TestNew_FleetHasStatedSizeAndDistinctAddresses(t *testing.T) {
	seen := map[string]string{}
	for instance, name := range []string{"restrepo", "cartago", "restrepo"} {
		d, err := New(name, instance)
		if err != nil {
			t.Fatal(err)
		}
		want := map[Role]int{RoleScheduler: 3, RoleFront: 4, RoleAgent: 11, RoleWorker: 11}
		for role, count := range want {
			if got := len(d.ByRole(role)); got != count {
				t.Errorf("%s has %d of role %s, want %d", name, got, role, count)
			}
		}
		for _, process := range d.Processes {
			if process.Role == RoleWorker {
				continue
			}
			for _, address := range []string{process.Address, process.AdvertiseAddress} {
				if other, taken := seen[address]; taken && address != "" {
					t.Errorf("%s has the address %s of %s", process.Name, address, other)
				}
				seen[address] = process.Name
			}
		}
		zones := map[string]bool{}
		for _, scheduler := range d.ByRole(RoleScheduler) {
			zones[scheduler.Zone] = true
		}
		if len(zones) != Zones {
			t.Errorf("%s has schedulers in %d zones, want %d", name, len(zones), Zones)
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
			t.Errorf("%s in %s has agent %s, want %s in %s", worker.Name, worker.Zone, worker.Agent, agents[i].URL(), agents[i].Zone)
		}
	}
	if got := agents[0].Address; !strings.HasPrefix(got, "127.1.3.1:") {
		t.Errorf("first agent has address %s, want 127.1.3.1", got)
	}
}

func TestNew_UnknownNameOrInstanceIsRejected(t *testing.T) {
	if _, err := New("nowhere", 0); err == nil {
		t.Error("an unknown name was taken")
	}
	if _, err := New("restrepo", MaxInstance+1); err == nil {
		t.Error("an instance beyond the highest was taken")
	}
}
