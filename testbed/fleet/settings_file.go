package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/eventlog"
)

// logSettings is the log section of every settings file.
type logSettings struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// daemonSettings is the settings file of a scheduler, front or agent.
type daemonSettings struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Listen string `yaml:"listen"`
	// Advertise is the address on which the emulated network accepts connections for the
	// process. Source is the host by which it identifies connections from the process.
	Advertise string       `yaml:"advertise,omitempty"`
	Source    string       `yaml:"source"`
	Seeds     []string     `yaml:"seeds"`
	DataDir   string       `yaml:"data_dir,omitempty"`
	Log       logSettings  `yaml:"log"`
	Test      testSettings `yaml:"test"`
}

// testSettings is the section for settings that only tests use.
type testSettings struct {
	WallClockOffset string `yaml:"wall_clock_offset"`
}

// workerSettings is the settings file of a worker.
type workerSettings struct {
	Name     string            `yaml:"name"`
	Agent    string            `yaml:"agent"`
	Capacity capacity          `yaml:"capacity"`
	Services []string          `yaml:"services"`
	Labels   map[string]string `yaml:"labels,omitempty"`
	Journal  string            `yaml:"journal"`
	Log      logSettings       `yaml:"log"`
}

type capacity struct {
	CPUMillis    int64 `yaml:"cpu_millis"`
	MemoryMB     int64 `yaml:"memory_mb"`
	Accelerators int64 `yaml:"accelerators"`
}

// layout returns the paths of a fleet's files below its root folder.
type layout struct{ root string }

func (l layout) settings(name string) string { return filepath.Join(l.root, "settings", name+".yaml") }
func (l layout) log(name string) string      { return filepath.Join(l.root, "logs", name+".log") }
func (l layout) data(name string) string     { return filepath.Join(l.root, "data", name) }
func (l layout) eventLogs() string           { return filepath.Join(l.root, "journals") }
func (l layout) eventLog(name string) string {
	return filepath.Join(l.eventLogs(), name+eventlog.Suffix)
}

// prepare creates the folders.
func (l layout) prepare() error {
	for _, path := range []string{"settings", "logs", "data", "journals"} {
		if err := os.MkdirAll(filepath.Join(l.root, path), 0o755); err != nil {
			return fmt.Errorf("prepare fleet folder: %w", err)
		}
	}
	return nil
}

// writeSettings writes the settings file of one process. It replaces the file atomically,
// as the process may be reading it.
func (l layout) writeSettings(process deployment.Process, choices fleetSettings) error {
	data, err := yaml.Marshal(l.settingsOf(process, choices))
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", process.Name, err)
	}
	path := l.settings(process.Name)
	if err := os.WriteFile(path+".new", data, 0o644); err != nil {
		return fmt.Errorf("write settings of %s: %w", process.Name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write settings of %s: %w", process.Name, err)
	}
	return nil
}

// fleetSettings contains the settings of a process that do not come from its own entry in
// the deployment.
type fleetSettings struct {
	seeds    []string
	logLevel string
	// agentURL is the URL at which a worker calls its agent.
	agentURL string
	// clockOffset is added to a scheduler's wall clock.
	clockOffset time.Duration
}

// settingsOf returns the content of a process's settings file.
func (l layout) settingsOf(process deployment.Process, choices fleetSettings) any {
	log := logSettings{Level: choices.logLevel, Format: "text"}
	if process.Role == deployment.RoleWorker {
		return workerSettings{
			Name: process.Name, Agent: choices.agentURL, Capacity: capacityOf(process.Capacity),
			Services: process.Services, Labels: process.Labels, Journal: l.eventLog(process.Name), Log: log,
		}
	}
	settings := daemonSettings{
		Name: process.Name, Zone: process.Zone, Listen: process.Address, Advertise: process.AdvertiseAddress,
		Source: hostOf(process.Address), Seeds: choices.seeds, Log: log,
		Test: testSettings{WallClockOffset: choices.clockOffset.String()},
	}
	if process.Role == deployment.RoleScheduler {
		settings.DataDir = l.data(process.Name)
	}
	return settings
}

func capacityOf(resources api.Resources) capacity {
	return capacity{CPUMillis: resources.CPUMillis, MemoryMB: resources.MemoryMB, Accelerators: resources.Accelerators}
}
