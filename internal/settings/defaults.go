package settings

import (
	"time"

	"github.com/decklever/decklever/api"
)

// defaultSetter is implemented by pointers to the settings of each program.
type defaultSetter interface{ setDefaults() }

func (c *Common) setDefaults() {
	c.StopTimeout = api.Duration(2 * time.Second)
	c.Log = defaultLog()
}

func (s *Scheduler) setDefaults() {
	s.Common.setDefaults()
	s.Timing = SchedulerTiming{
		Tick:               api.Duration(50 * time.Millisecond),
		ElectionTimeoutMin: api.Duration(500 * time.Millisecond),
		ElectionTimeoutMax: api.Duration(time.Second),
		Lease:              api.Duration(400 * time.Millisecond),
	}
	s.SnapshotEvery = 10000
	s.ArchiveMaxBytes = 24 << 20
	s.MayForm = true
	s.ToleratedFailures = 2
}

func (f *Front) setDefaults() {
	f.Common.setDefaults()
	f.Deadline = api.Duration(3 * time.Second)
	f.MaxInflight = 1024
}

func (a *Agent) setDefaults() {
	a.Common.setDefaults()
	a.RelayTimeout = api.Duration(time.Second)
}

func (w *Worker) setDefaults() {
	w.Log = defaultLog()
	w.Capacity = api.Resources{CPUMillis: 1000, MemoryMB: 1024}
	w.Services = []string{"sleep", "fail", "flaky", "slow"}
}

func defaultLog() Log {
	return Log{Level: "info", Format: "text"}
}
