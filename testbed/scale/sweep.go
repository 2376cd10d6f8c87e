package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"text/tabwriter"
)

const (
	sweepFile = "sweep.json"
	// defaultGangSize is that of the users.
	defaultGangSize = 128
)

// TargetSize is the size that the design is made for.
var TargetSize = Size{Workers: 1200, Tasks: 22_000, StartsPerSecond: 670, Gangs: 8, GangSize: defaultGangSize}

// SweepSizes are the sizes that a sweep measures: the workers grow at one
// load, then tasks and starts grow apart from each other.
func SweepSizes() []Size {
	size := func(workers, tasks int, starts float64, gangs int) Size {
		return Size{Workers: workers, Tasks: tasks, StartsPerSecond: starts, Gangs: gangs, GangSize: defaultGangSize}
	}
	return []Size{
		size(11, 1000, 100, 1),
		size(100, 1000, 100, 1),
		size(300, 1000, 100, 1),
		size(600, 1000, 100, 1),
		size(1200, 1000, 100, 1),
		size(300, 5000, 250, 3),
		size(1200, 5000, 250, 3),
		size(1200, 5000, 500, 3),
		size(600, 10_000, 335, 4),
		TargetSize,
	}
}

// folder is the name of a size's folder in a sweep.
func (s Size) folder() string {
	return fmt.Sprintf("w%d-t%d-s%.0f", s.Workers, s.Tasks, s.StartsPerSecond)
}

// Quantity is one measured number over all sizes, with its fit.
type Quantity struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Values []float64 `json:"values"`
	Fit    Fit       `json:"fit"`
	// AtTarget is the fit at TargetSize.
	AtTarget float64 `json:"fit_at_target"`
	Error    string  `json:"error,omitempty"`
}

// Sweep is the measurement of many sizes.
type Sweep struct {
	Results    []Result   `json:"results"`
	Quantities []Quantity `json:"quantities"`
	// Failed names sizes without a result.
	Failed []string `json:"failed,omitempty"`
}

// RunSweep measures one size after the other, each in a folder of its own. A
// size whose folder has a result already is not measured again, so that a sweep
// can be made in parts. One that fails is named in the sweep; the others go on.
func RunSweep(ctx context.Context, config Config, sizes []Size) (Sweep, error) {
	var sweep Sweep
	out := config.Out
	for _, size := range sizes {
		one := config
		one.Size = size
		one.Out = filepath.Join(out, size.folder())
		result, err := readResult(one.Out)
		if errors.Is(err, fs.ErrNotExist) && !config.FitOnly {
			result, err = Run(ctx, one)
		}
		if ctx.Err() != nil {
			return sweep, ctx.Err()
		}
		if err != nil {
			sweep.Failed = append(sweep.Failed, fmt.Sprintf("%+v: %v", size, err))
			continue
		}
		sweep.Results = append(sweep.Results, result)
	}
	return sweep, sweep.Write(out)
}

// Write fits the results and writes the sweep's table and plots into a folder.
func (s *Sweep) Write(directory string) error {
	s.Quantities = quantities(s.Results)
	return errors.Join(
		writeJSON(filepath.Join(directory, sweepFile), s),
		plotAll(directory, *s),
	)
}

// measured is a number that a result gives.
type measured struct {
	name, unit string
	value      func(Result) float64
}

// ofRole returns the numbers that each role has.
func ofRole(role Role) []measured {
	name := string(role)
	use := func(take func(RoleUsage) float64) func(Result) float64 {
		return func(result Result) float64 { return take(result.Role(role)) }
	}
	return []measured{
		{name + " cpu", "% of a core", use(func(u RoleUsage) float64 { return 100 * u.CPU })},
		{name + " memory", "MB", use(func(u RoleUsage) float64 { return u.MemoryMaxMB })},
		{name + " read", "KB/s", use(func(u RoleUsage) float64 { return u.Read / 1000 })},
		{name + " written", "KB/s", use(func(u RoleUsage) float64 { return u.Written / 1000 })},
		{name + " rpc served", "1/s", use(func(u RoleUsage) float64 { return u.Served })},
		{name + " rpc made", "1/s", use(func(u RoleUsage) float64 { return u.Made })},
	}
}

func allMeasured() []measured {
	var all []measured
	for _, role := range []Role{RoleLeader, RoleFollower, RoleFront, RoleAgent, RoleWorker} {
		all = append(all, ofRole(role)...)
	}
	return append(
		all,
		measured{"leader disk", "KB/s", func(r Result) float64 { return r.Role(RoleLeader).Disk / 1000 }},
		measured{"log entries", "1/s", func(r Result) float64 { return r.Role(RoleLeader).Entries }},
		measured{"node wire", "KB/s", func(r Result) float64 { return (r.Hollow.WireIn + r.Hollow.WireOut) / 1000 }},
		measured{"node heartbeats", "1/s", func(r Result) float64 { return r.Hollow.Heartbeats }},
		measured{"node watches", "1/s", func(r Result) float64 { return r.Hollow.Watches }},
		measured{"hollow node cpu", "% of a core", func(r Result) float64 { return 100 * r.Hollow.CPU }},
		measured{"hollow node memory", "MB", func(r Result) float64 { return r.Hollow.MemoryMB }},
		measured{"starts reached", "1/s", func(r Result) float64 { return r.StartsPerSecond }},
		measured{"urgent start p99", "ms", func(r Result) float64 { return r.Urgent.P99 }},
		measured{"gang start p99", "ms", func(r Result) float64 { return r.Gangs.P99 }},
		measured{"plain start p99", "ms", func(r Result) float64 { return r.Plain.P99 }},
		measured{"change in force max", "ms", func(r Result) float64 { return r.SingleChanges.Max }},
	)
}

func quantities(results []Result) []Quantity {
	var sizes []Size
	for _, result := range results {
		sizes = append(sizes, result.Size)
	}
	var all []Quantity
	for _, one := range allMeasured() {
		quantity := Quantity{Name: one.name, Unit: one.unit}
		for _, result := range results {
			quantity.Values = append(quantity.Values, one.value(result))
		}
		fitted, err := fit(sizes, quantity.Values)
		quantity.Fit, quantity.AtTarget = fitted, fitted.At(TargetSize)
		if err != nil {
			quantity.Error = err.Error()
		}
		all = append(all, quantity)
	}
	return all
}

// WriteText writes the sweep as tables for people.
func (s Sweep) WriteText(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	text := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format, arguments...) }
	text("quantity\tunit\t")
	for _, result := range s.Results {
		text("%d/%d/%.0f\t", result.Size.Workers, result.Size.Tasks, result.Size.StartsPerSecond)
	}
	text("base\tper worker\tper task\tper start/s\tR2\tfit at target\t\n")
	for _, one := range s.Quantities {
		text("%s\t%s\t", one.Name, one.Unit)
		for _, value := range one.Values {
			text("%.4g\t", value)
		}
		text("%.4g\t%.4g\t%.4g\t%.4g\t%.3f\t%.4g\t\n", one.Fit.Base, one.Fit.PerWorker, one.Fit.PerTask, one.Fit.PerStart, one.Fit.R2, one.AtTarget)
	}
	for _, failure := range s.Failed {
		text("failed: %s\n", failure)
	}
	return table.Flush()
}
