package scale

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
)

const (
	realNodes = 4
	// nodesPerProcess is the maximum number of hollow nodes in one process.
	nodesPerProcess = 300
	// memoryLimitMB is the limit of the total resident memory of a run's processes, half
	// of the memory of a developer's machine. A run that exceeds it is cancelled.
	memoryLimitMB = 12 * 1024
)

// Size describes the fleet and the load of a run.
type Size struct {
	// Workers is the number of machines with an agent and a worker each.
	Workers int `json:"workers"`
	// Tasks is the number of tasks that run at a time.
	Tasks int `json:"tasks"`
	// StartsPerSecond is the rate of task starts. A task runs for
	// Tasks/StartsPerSecond seconds.
	StartsPerSecond float64 `json:"starts_per_second"`
	// Gangs is the number of gangs that run at a time. Their tasks count in Tasks.
	Gangs    int `json:"gangs"`
	GangSize int `json:"gang_size"`
}

// taskDuration returns the mean run time of a task.
func (s Size) taskDuration() time.Duration {
	return time.Duration(float64(s.Tasks) / s.StartsPerSecond * float64(time.Second))
}

// spareGangs is the number of gangs for which there are devices beyond Size.Gangs: gangs
// overlap for some time, since the run times of their tasks differ.
const spareGangs = 2

// accelerators returns the number of accelerators of the fleet. Each task of a gang uses
// one.
func (s Size) accelerators() int {
	if s.Gangs == 0 {
		return 0
	}
	return (s.Gangs + spareGangs) * s.GangSize
}

// Config selects what to run.
type Config struct {
	Size Size
	// Window is the duration of the measured part, at least minWindow. It follows the
	// ramp, which lasts a little longer than one task, and at least minRamp.
	Window time.Duration
	// Out is the output folder of the run; it must be new or empty.
	Out string
	// Binaries is the folder of the programs, Self the path of the running program,
	// which is also the program of the hollow processes.
	Binaries   string
	Executable string
	Instance   int
	Seed       uint64
	// Faults kills some hollow agents and workers during the ramp.
	Faults bool
	// FitOnly makes a sweep use the existing results and run nothing.
	FitOnly bool
	// Progress receives a line for each phase of the run. Optional.
	Progress io.Writer
}

func (c Config) validate() error {
	size := c.Size
	switch {
	case size.Workers <= realNodes:
		return fmt.Errorf("workers is %d, expected over %d", size.Workers, realNodes)
	case size.Tasks < 1 || size.StartsPerSecond <= 0:
		return errors.New("tasks and starts per second must be over 0")
	case size.Gangs < 0 || size.GangSize < 1 || size.Gangs*size.GangSize > size.Tasks:
		return fmt.Errorf("%d gangs of %d tasks in a load of %d tasks, expected gangs of 1 or more that fit the load", size.Gangs, size.GangSize, size.Tasks)
	case c.Window < minWindow:
		return fmt.Errorf("duration is %v, expected at least %v", c.Window, minWindow)
	case c.Instance < 0 || c.Instance > deployment.MaxInstance:
		return fmt.Errorf("instance is %d, expected 0 to %d", c.Instance, deployment.MaxInstance)
	}
	return nil
}
