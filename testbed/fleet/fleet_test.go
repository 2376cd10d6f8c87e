package fleet

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/testaddress"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
)

// TestSettingsFile_IsAcceptedByItsDaemon loads each written file the way the
// daemons do, which refuses unknown and wrong keys.
func TestSettingsFile_IsAcceptedByItsDaemon(t *testing.T) {
	f := testFleet(t, &calllog.Log{})
	for _, process := range f.processes {
		if err := load(process); err != nil {
			t.Errorf("%s: %v", process.Spec.Name, err)
		}
	}
}

func load(process *Process) error {
	options := settings.LoadOptions{Path: process.settings}
	var err error
	switch process.Spec.Role {
	case deployment.RoleScheduler:
		_, err = settings.Load[settings.Scheduler](options)
	case deployment.RoleFront:
		_, err = settings.Load[settings.Front](options)
	case deployment.RoleAgent:
		_, err = settings.Load[settings.Agent](options)
	case deployment.RoleWorker:
		_, err = settings.Load[settings.Worker](options)
	}
	return err
}

func TestNew_MissingProgramIsRejected(t *testing.T) {
	d, err := deployment.New("restrepo", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{Deployment: d, Directory: t.TempDir(), Binaries: t.TempDir()}); err == nil {
		t.Fatal("a fleet without programs was made")
	}
}

func TestStart_AddressInUseIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", testaddress.New(t))
	if err != nil {
		t.Fatal(err)
	}
	taken := deployment.Process{Name: "front-01", Role: deployment.RoleFront, Address: listener.Addr().String()}
	f := &Fleet{processes: []*Process{{Spec: taken}}}
	if err := f.Start(); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("Start returned %v, want that the address is in use", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := checkAddressFree(taken); err != nil {
		t.Errorf("the address is free again, but: %v", err)
	}
}

func TestUsage_ProcessFilesAreParsed(t *testing.T) {
	stat := "12 (a (b) c) S 1 12 12 0 -1 4194304 900 0 0 0 250 50 0 0 20 0 9 0 77 1 2"
	cpu, err := parseProcessorTime([]byte(stat))
	if err != nil || cpu != 3*time.Second {
		t.Errorf("processor time is %v, %v, want 3s", cpu, err)
	}
	memory, err := parseResidentMemory([]byte("Name:\tx\nVmRSS:\t   2048 kB\nThreads:\t3\n"))
	if err != nil || memory != 2048*1024 {
		t.Errorf("resident memory is %d, %v, want 2 MiB", memory, err)
	}
	if _, err := parseProcessorTime([]byte("12 (x) S 1")); err == nil {
		t.Error("a short stat line was taken")
	}
	if _, err := parseResidentMemory([]byte("Name:\tx\n")); err == nil {
		t.Error("a status without VmRSS was taken")
	}
}
