package fleet

import (
	"fmt"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/deployment"
	"github.com/decklever/decklever/lab/journal"
)

// logSettings is the log section of every settings file.
type logSettings struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// daemonSettings is the settings file of a scheduler, front or agent.
type daemonSettings struct {
	Name    string      `yaml:"name"`
	Zone    string      `yaml:"zone"`
	Listen  string      `yaml:"listen"`
	Seeds   []string    `yaml:"seeds"`
	DataDir string      `yaml:"data_dir,omitempty"`
	Log     logSettings `yaml:"log"`
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

// layout is where the files of a fleet lie.
type layout struct{ root string }

func (l layout) settings(name string) string { return filepath.Join(l.root, "settings", name+".yaml") }
func (l layout) log(name string) string      { return filepath.Join(l.root, "logs", name+".log") }
func (l layout) data(name string) string     { return filepath.Join(l.root, "data", name) }
func (l layout) journals() string            { return filepath.Join(l.root, "journals") }
func (l layout) journal(name string) string {
	return filepath.Join(l.journals(), name+journal.Suffix)
}

// prepare makes the folders.
func (l layout) prepare() error {
	for _, path := range []string{"settings", "logs", "data", "journals"} {
		if err := os.MkdirAll(filepath.Join(l.root, path), 0o755); err != nil {
			return fmt.Errorf("prepare fleet folder: %w", err)
		}
	}
	return nil
}

// writeSettings writes the settings file of one process.
func (l layout) writeSettings(process deployment.Process, seeds []string, logLevel string) error {
	data, err := yaml.Marshal(l.settingsOf(process, seeds, logSettings{Level: logLevel, Format: "text"}))
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", process.Name, err)
	}
	if err := os.WriteFile(l.settings(process.Name), data, 0o644); err != nil {
		return fmt.Errorf("write settings of %s: %w", process.Name, err)
	}
	return nil
}

func (l layout) settingsOf(process deployment.Process, seeds []string, log logSettings) any {
	if process.Role == deployment.RoleWorker {
		return workerSettings{
			Name: process.Name, Agent: process.Agent, Capacity: capacityOf(process.Capacity),
			Services: process.Services, Labels: process.Labels, Journal: l.journal(process.Name), Log: log,
		}
	}
	settings := daemonSettings{Name: process.Name, Zone: process.Zone, Listen: process.Address, Seeds: seeds, Log: log}
	if process.Role == deployment.RoleScheduler {
		settings.DataDir = l.data(process.Name)
	}
	return settings
}

func capacityOf(room api.Resources) capacity {
	return capacity{CPUMillis: room.CPUMillis, MemoryMB: room.MemoryMB, Accelerators: room.Accelerators}
}
