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
	// nodesPerProcess bounds the hollow nodes of one process.
	nodesPerProcess = 300
	// memoryLimitMB ends a run whose processes take more together: half of the
	// memory of a developer's machine.
	memoryLimitMB = 12 * 1024
)

// Size is how large a run is.
type Size struct {
	// Workers is the number of side machines, each with an agent and a worker.
	Workers int `json:"workers"`
	// Tasks is the number of tasks kept running.
	Tasks int `json:"tasks"`
	// StartsPerSecond is the rate of task starts. A task runs for Tasks divided
	// by it.
	StartsPerSecond float64 `json:"starts_per_second"`
	// Gangs is the number of gangs kept running, their tasks part of Tasks.
	Gangs    int `json:"gangs"`
	GangSize int `json:"gang_size"`
}

// taskLength is how long one task runs.
func (s Size) taskLength() time.Duration {
	return time.Duration(float64(s.Tasks) / s.StartsPerSecond * float64(time.Second))
}

// spareGangs is for how many additional gangs there are devices: gangs overlap for some
// time, since their tasks do not all run equally long.
const spareGangs = 2

// accelerators is the number of devices of the fleet; each task of a gang takes
// one.
func (s Size) accelerators() int {
	if s.Gangs == 0 {
		return 0
	}
	return (s.Gangs + spareGangs) * s.GangSize
}

// Config says what to run.
type Config struct {
	Size Size
	// Window is how long the measured part lasts; it follows the ramp, which
	// is one task length.
	Window time.Duration
	// Out is a folder for all files of the run; it must be new or empty.
	Out string
	// Binaries is the folder of the programs, Self the path of this one.
	Binaries string
	Self     string
	Instance int
	Seed     uint64
	// Faults kills some hollow nodes during the ramp.
	Faults bool
	// FitOnly makes a sweep take the results that are there and run nothing.
	FitOnly bool
	// Progress gets a line for each part of the run.
	Progress io.Writer
}

func (c Config) check() error {
	size := c.Size
	switch {
	case size.Workers <= realNodes:
		return fmt.Errorf("workers is %d, expected over %d", size.Workers, realNodes)
	case size.Tasks < 1 || size.StartsPerSecond <= 0:
		return errors.New("tasks and starts per second must be over 0")
	case size.Gangs < 0 || size.GangSize < 1 || size.Gangs*size.GangSize > size.Tasks:
		return fmt.Errorf("%d gangs of %d are more than %d tasks", size.Gangs, size.GangSize, size.Tasks)
	case c.Window < minWindow:
		return fmt.Errorf("duration is %v, expected at least %v", c.Window, minWindow)
	case c.Instance < 0 || c.Instance > deployment.MaxInstance:
		return fmt.Errorf("instance is %d, expected 0 to %d", c.Instance, deployment.MaxInstance)
	}
	return nil
}
