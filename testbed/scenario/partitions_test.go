package scenario

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
)

// newEnv returns an Env whose fleet has empty files as programs, which are never started.
func newEnv(t *testing.T) Env {
	t.Helper()
	d, err := deployment.New("restrepo", 0)
	if err != nil {
		t.Fatal(err)
	}
	binaries := t.TempDir()
	for _, role := range []deployment.Role{deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker} {
		if err := os.WriteFile(filepath.Join(binaries, "decklever-"+string(role)), nil, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	running, err := fleet.New(fleet.Config{Deployment: d, Directory: t.TempDir(), Binaries: binaries, CallLog: &calllog.Log{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := running.Stop(); err != nil {
			t.Error(err)
		}
	})
	return Env{Fleet: running}
}

func TestPeersOf_ReturnsOtherProcessesOfRole(t *testing.T) {
	env := newEnv(t)
	target := env.Fleet.Process("scheduler-02")
	peers := peersOf(env, target)
	if len(peers) != deployment.Schedulers-1 {
		t.Fatalf("got %d peers, want %d", len(peers), deployment.Schedulers-1)
	}
	for _, peer := range peers {
		if peer == target || peer.Spec.Role != deployment.RoleScheduler {
			t.Errorf("got %s as a peer of %s, want only other schedulers", peer.Spec.Name, target.Spec.Name)
		}
	}
}
