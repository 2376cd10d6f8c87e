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

// TestSettingsFile_IsAcceptedByItsDaemon loads each settings file with the loader of the
// daemons, which rejects unknown keys and invalid values.
func TestSettingsFile_IsAcceptedByItsDaemon(t *testing.T) {
	f := testFleet(t, &calllog.Log{})
	for _, process := range f.processes {
		if err := loadSettings(process); err != nil {
			t.Errorf("%s: %v", process.Spec.Name, err)
		}
	}
}

// loadSettings loads the settings file of a process with the type of its role.
func loadSettings(process *Process) error {
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
		t.Fatal("got a fleet without programs, want an error")
	}
}

func TestStart_AddressInUseIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", testaddress.New(t))
	if err != nil {
		t.Fatal(err)
	}
	inUse := deployment.Process{Name: "front-01", Role: deployment.RoleFront, Address: listener.Addr().String()}
	f := &Fleet{processes: []*Process{{Spec: inUse}}}
	if err := f.Start(); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("got error %v from Start, want EADDRINUSE", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := checkAddressFree(inUse); err != nil {
		t.Errorf("got error %v for a free address, want none", err)
	}
}

func TestUsage_ProcessFilesAreParsed(t *testing.T) {
	stat := "12 (a (b) c) S 1 12 12 0 -1 4194304 900 0 0 0 250 50 0 0 20 0 9 0 77 1 2"
	cpu, err := parseProcessorTime([]byte(stat))
	if err != nil || cpu != 3*time.Second {
		t.Errorf("got processor time %v, error %v, want 3s, nil", cpu, err)
	}
	memory, err := parseResidentMemory([]byte("Name:\tx\nVmRSS:\t   2048 kB\nThreads:\t3\n"))
	if err != nil || memory != 2048*1024 {
		t.Errorf("got resident memory %d, error %v, want 2 MiB in bytes, nil", memory, err)
	}
	if _, err := parseProcessorTime([]byte("12 (x) S 1")); err == nil {
		t.Error("got no error for a stat line with too few fields")
	}
	if _, err := parseResidentMemory([]byte("Name:\tx\n")); err == nil {
		t.Error("got no error for a status without VmRSS")
	}
}
