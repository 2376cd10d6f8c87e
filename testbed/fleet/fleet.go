package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/childprocess"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/netem"
)

const (
	// programPrefix precedes the role in the name of a program.
	programPrefix = "decklever-"
	// stopTimeout bounds a graceful shutdown, killTimeout the wait for the exit after
	// SIGKILL.
	stopTimeout = 3 * time.Second
	killTimeout = 5 * time.Second
)

// Config configures a fleet.
type Config struct {
	Deployment deployment.Deployment
	// Directory is where settings, logs, data and event logs are written.
	Directory string
	// Binaries is the folder of the present version's programs.
	Binaries string
	// PreviousBinaries is the folder of the previous version's programs. Default: Binaries.
	PreviousBinaries string
	// FirstVersion is the version in which all processes are first started. Default:
	// PresentVersion.
	FirstVersion Version
	// CallLog records starts, faults and exits.
	CallLog *calllog.Log
	// LogLevel is the log level of all processes. Default: "info".
	LogLevel string
	// Seed is the seed of the random delays of reordered data.
	Seed uint64
}

// Fleet consists of the processes of one deployment and the emulated network between them.
// It owns both until Stop.
type Fleet struct {
	config    Config
	layout    layout
	launcher  *childprocess.Launcher
	network   *netem.Network
	client    *api.Client
	processes []*Process
	byName    map[string]*Process
}

// New returns a fleet and writes the settings files of its processes, which Start starts.
// The caller must call Stop.
func New(config Config) (*Fleet, error) {
	if config.LogLevel == "" {
		config.LogLevel = "info"
	}
	if config.PreviousBinaries == "" {
		config.PreviousBinaries = config.Binaries
	}
	root, err := filepath.Abs(config.Directory)
	if err != nil {
		return nil, fmt.Errorf("fleet folder: %w", err)
	}
	client, err := api.NewClient(api.ClientConfig{Endpoints: config.Deployment.FrontURLs()})
	if err != nil {
		return nil, fmt.Errorf("client of the fleet: %w", err)
	}
	f := &Fleet{config: config, layout: layout{root}, client: client, byName: map[string]*Process{}}
	if err := f.layout.prepare(); err != nil {
		return nil, err
	}
	if err := f.addProcesses(); err != nil {
		return nil, err
	}
	f.launcher = childprocess.New()
	for _, process := range f.processes {
		process.launcher = f.launcher
	}
	return f, nil
}

// addProcesses adds the processes of the deployment and writes their settings files.
func (f *Fleet) addProcesses() error {
	for _, spec := range f.config.Deployment.Processes {
		programs, err := f.findPrograms(spec.Role)
		if err != nil {
			return err
		}
		if err := f.layout.writeSettings(spec, f.fleetSettings(spec)); err != nil {
			return err
		}
		process := &Process{
			Spec: spec, programs: programs, settings: f.layout.settings(spec.Name),
			logPath: f.layout.log(spec.Name), callLog: f.config.CallLog, version: f.config.FirstVersion,
		}
		f.processes = append(f.processes, process)
		f.byName[spec.Name] = process
	}
	return nil
}

// findPrograms returns the paths of a role's program, by version.
func (f *Fleet) findPrograms(role deployment.Role) (programs [versionCount]string, err error) {
	folders := [versionCount]string{PresentVersion: f.config.Binaries, PreviousVersion: f.config.PreviousBinaries}
	for version, directory := range folders {
		if programs[version], err = findProgram(directory, role); err != nil {
			return programs, err
		}
	}
	return programs, nil
}

// findProgram returns the absolute path of a role's program in a folder, or an error if it
// is not an executable file.
func findProgram(directory string, role deployment.Role) (string, error) {
	path, err := filepath.Abs(filepath.Join(directory, programPrefix+string(role)))
	if err != nil {
		return "", fmt.Errorf("find program: %w", err)
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", fmt.Errorf("find program: %w", err)
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("find program: %s is not an executable file", path)
	}
	return path, nil
}

// Start starts the emulated network and all processes. It returns an error and starts
// nothing if one of their addresses is in use, for example by another fleet of the same
// instance.
func (f *Fleet) Start() error {
	for _, process := range f.processes {
		if err := checkAddressFree(process.Spec); err != nil {
			return err
		}
	}
	if err := f.openNetwork(); err != nil {
		return err
	}
	for _, process := range f.processes {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddressFree returns an error if the address of a process is in use. Workers do not
// listen.
func checkAddressFree(process deployment.Process) error {
	if process.Role == deployment.RoleWorker {
		return nil
	}
	listener, err := net.Listen("tcp", process.Address)
	if err != nil {
		return fmt.Errorf("address of %s is not free: %w", process.Name, err)
	}
	return listener.Close()
}

// roleStopOrder is the order in which Stop stops the roles: each before the roles that it
// calls, which can thus still answer its calls during its shutdown.
var roleStopOrder = []deployment.Role{
	deployment.RoleWorker, deployment.RoleAgent, deployment.RoleFront, deployment.RoleScheduler,
}

// Stop terminates all processes, role by role, and kills those that do not exit within
// stopTimeout. Then it closes the launcher and the emulated network.
func (f *Fleet) Stop() error {
	var failures []error
	for _, role := range roleStopOrder {
		failures = append(failures, f.stopRole(role))
	}
	f.launcher.Close()
	if f.network != nil {
		failures = append(failures, f.network.Close())
	}
	return errors.Join(failures...)
}

// stopRole stops all processes of a role concurrently.
func (f *Fleet) stopRole(role deployment.Role) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout+killTimeout)
	defer cancel()
	processes := f.ByRole(role)
	failures := make([]error, len(processes))
	var stopping sync.WaitGroup
	for index, process := range processes {
		stopping.Go(func() { failures[index] = process.stop(ctx) })
	}
	stopping.Wait()
	return errors.Join(failures...)
}

// stop terminates the process and waits for its exit. It also resumes the process, as a
// frozen process handles SIGTERM only then.
func (p *Process) stop(ctx context.Context) error {
	if err := p.Terminate(); errors.Is(err, errNotRunning) {
		return nil
	}
	if err := p.Resume(); err != nil && !errors.Is(err, errNotRunning) {
		return err
	}
	return p.waitOrKill(ctx)
}

// Client returns an API client with all fronts as endpoints.
func (f *Fleet) Client() *api.Client { return f.client }

// Deployment returns the deployment that the fleet runs.
func (f *Fleet) Deployment() deployment.Deployment { return f.config.Deployment }

// EventLogDirectory returns the folder of the workers' event logs.
func (f *Fleet) EventLogDirectory() string { return f.layout.eventLogs() }

// LogDirectory returns the folder of the processes' logs.
func (f *Fleet) LogDirectory() string { return filepath.Dir(f.layout.log("")) }

// Process returns the process with that name, or nil if there is none.
func (f *Fleet) Process(name string) *Process { return f.byName[name] }

// ByRole returns all processes of a role, in the order of the deployment.
func (f *Fleet) ByRole(role deployment.Role) []*Process {
	var found []*Process
	for _, process := range f.processes {
		if process.Spec.Role == role {
			found = append(found, process)
		}
	}
	return found
}

// Leader returns the scheduler that the members API reports as the leader, or an error if
// it reports none.
func (f *Fleet) Leader(ctx context.Context) (*Process, error) {
	members, err := f.client.Members(ctx)
	if err != nil {
		return nil, fmt.Errorf("find the leader: %w", err)
	}
	for _, member := range members.Members {
		if process := f.byName[member.Name]; member.Leader && process != nil {
			return process, nil
		}
	}
	return nil, errors.New("find the leader: no member is reported as the leader")
}
