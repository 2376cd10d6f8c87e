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
	// defaultGangSize is the gang size that users have.
	defaultGangSize = 128
)

// TargetSize is the size for which the system is designed.
var TargetSize = Size{Workers: 1200, Tasks: 22_000, StartsPerSecond: 670, Gangs: 8, GangSize: defaultGangSize}

// SweepSizes returns the sizes that a sweep measures: first more workers at the same
// load, then more tasks and starts per second, varied independently.
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

// folder returns the name of the size's folder in the output folder of a sweep.
func (s Size) folder() string {
	return fmt.Sprintf("w%d-t%d-s%.0f", s.Workers, s.Tasks, s.StartsPerSecond)
}

// Quantity is one measured quantity at all sizes, with its fit. Error is set if the fit
// failed.
type Quantity struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Values []float64 `json:"values"`
	Fit    Fit       `json:"fit"`
	// AtTarget is the value of the fit at TargetSize.
	AtTarget float64 `json:"fit_at_target"`
	Error    string  `json:"error,omitempty"`
}

// Sweep is the result of measuring several sizes.
type Sweep struct {
	Results    []Result   `json:"results"`
	Quantities []Quantity `json:"quantities"`
	// Failed has the size and the error of each size without a result.
	Failed []string `json:"failed,omitempty"`
}

// RunSweep measures the sizes one after the other, each in its own folder. A size whose
// folder already has a result is not measured again, so that a sweep can be run in
// parts. A size that fails is listed in Sweep.Failed, and the sweep continues.
func RunSweep(ctx context.Context, config Config, sizes []Size) (Sweep, error) {
	var sweep Sweep
	out := config.Out
	for _, size := range sizes {
		sizeConfig := config
		sizeConfig.Size = size
		sizeConfig.Out = filepath.Join(out, size.folder())
		result, err := readResult(sizeConfig.Out)
		if errors.Is(err, fs.ErrNotExist) && !config.FitOnly {
			result, err = Run(ctx, sizeConfig)
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

// Write fits the results and writes the sweep as JSON and its plots to a folder.
func (s *Sweep) Write(directory string) error {
	s.Quantities = quantities(s.Results)
	return errors.Join(
		writeJSON(filepath.Join(directory, sweepFile), s),
		plotAll(directory, *s),
	)
}

// quantityDefinition defines a quantity and how to get its value from a result.
type quantityDefinition struct {
	name, unit string
	value      func(Result) float64
}

// roleQuantities returns the quantities that are measured for every role.
func roleQuantities(role Role) []quantityDefinition {
	name := string(role)
	ofRole := func(value func(RoleUsage) float64) func(Result) float64 {
		return func(result Result) float64 { return value(result.Role(role)) }
	}
	return []quantityDefinition{
		{name + " cpu", "% of a core", ofRole(func(u RoleUsage) float64 { return 100 * u.CPU })},
		{name + " memory", "MB", ofRole(func(u RoleUsage) float64 { return u.MemoryMaxMB })},
		{name + " read", "KB/s", ofRole(func(u RoleUsage) float64 { return u.Read / 1000 })},
		{name + " written", "KB/s", ofRole(func(u RoleUsage) float64 { return u.Written / 1000 })},
		{name + " rpc served", "1/s", ofRole(func(u RoleUsage) float64 { return u.Served })},
		{name + " rpc made", "1/s", ofRole(func(u RoleUsage) float64 { return u.Made })},
	}
}

func allQuantities() []quantityDefinition {
	var all []quantityDefinition
	for _, role := range []Role{RoleLeader, RoleFollower, RoleFront, RoleAgent, RoleWorker} {
		all = append(all, roleQuantities(role)...)
	}
	return append(
		all,
		quantityDefinition{"leader disk", "KB/s", func(r Result) float64 { return r.Role(RoleLeader).Disk / 1000 }},
		quantityDefinition{"log entries", "1/s", func(r Result) float64 { return r.Role(RoleLeader).Entries }},
		quantityDefinition{"node wire", "KB/s", func(r Result) float64 { return (r.Hollow.WireIn + r.Hollow.WireOut) / 1000 }},
		quantityDefinition{"node heartbeats", "1/s", func(r Result) float64 { return r.Hollow.Heartbeats }},
		quantityDefinition{"node watches", "1/s", func(r Result) float64 { return r.Hollow.Watches }},
		quantityDefinition{"hollow node cpu", "% of a core", func(r Result) float64 { return 100 * r.Hollow.CPU }},
		quantityDefinition{"hollow node memory", "MB", func(r Result) float64 { return r.Hollow.MemoryMB }},
		quantityDefinition{"starts reached", "1/s", func(r Result) float64 { return r.StartsPerSecond }},
		quantityDefinition{"urgent start p99", "ms", func(r Result) float64 { return r.Urgent.P99 }},
		quantityDefinition{"gang start p99", "ms", func(r Result) float64 { return r.Gangs.P99 }},
		quantityDefinition{"plain start p99", "ms", func(r Result) float64 { return r.Plain.P99 }},
		quantityDefinition{"change in force max", "ms", func(r Result) float64 { return r.SingleChanges.Max }},
	)
}

func quantities(results []Result) []Quantity {
	var sizes []Size
	for _, result := range results {
		sizes = append(sizes, result.Size)
	}
	var all []Quantity
	for _, one := range allQuantities() {
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

// WriteText writes the sweep as a text table for people.
func (s Sweep) WriteText(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format, arguments...) }
	printf("quantity\tunit\t")
	for _, result := range s.Results {
		printf("%d/%d/%.0f\t", result.Size.Workers, result.Size.Tasks, result.Size.StartsPerSecond)
	}
	printf("base\tper worker\tper task\tper start/s\tR2\tfit at target\t\n")
	for _, one := range s.Quantities {
		printf("%s\t%s\t", one.Name, one.Unit)
		for _, value := range one.Values {
			printf("%.4g\t", value)
		}
		printf("%.4g\t%.4g\t%.4g\t%.4g\t%.3f\t%.4g\t\n", one.Fit.Base, one.Fit.PerWorker, one.Fit.PerTask, one.Fit.PerStart, one.Fit.R2, one.AtTarget)
	}
	for _, failure := range s.Failed {
		printf("failed: %s\n", failure)
	}
	return table.Flush()
}
