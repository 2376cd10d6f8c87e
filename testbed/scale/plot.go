package scale

import (
	"errors"
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// axis is a factor on the x axis of a plot, with its label.
type axis struct {
	name  string
	value func(Size) float64
}

// plotAll plots the processor share and the memory of each role against each factor.
func plotAll(directory string, sweep Sweep) error {
	axes := []axis{
		{"workers", func(s Size) float64 { return float64(s.Workers) }},
		{"running tasks", func(s Size) float64 { return float64(s.Tasks) }},
		{"starts per second", func(s Size) float64 { return s.StartsPerSecond }},
	}
	var failures []error
	for _, axis := range axes {
		failures = append(
			failures,
			draw(directory, sweep, axis, "processor share", "% of a core", func(u RoleUsage) float64 { return 100 * u.CPU }),
			draw(directory, sweep, axis, "memory", "MB", func(u RoleUsage) float64 { return u.MemoryMaxMB }),
		)
	}
	return errors.Join(failures...)
}

func draw(directory string, sweep Sweep, axis axis, name, unit string, value func(RoleUsage) float64) error {
	figure := plot.New()
	figure.Title.Text = fmt.Sprintf("%s by %s", name, axis.name)
	figure.X.Label.Text, figure.Y.Label.Text = axis.name, unit
	figure.Legend.Top, figure.Legend.Left = true, true
	for number, role := range []Role{RoleLeader, RoleFollower, RoleFront, RoleAgent, RoleWorker} {
		var points plotter.XYs
		for _, result := range sweep.Results {
			points = append(points, plotter.XY{X: axis.value(result.Size), Y: value(result.Role(role))})
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		scatter.Color, scatter.Shape = plotutil.Color(number), plotutil.Shape(number)
		figure.Add(scatter)
		figure.Legend.Add(string(role), scatter)
	}
	path := filepath.Join(directory, fmt.Sprintf("%s by %s.png", name, axis.name))
	if err := figure.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
