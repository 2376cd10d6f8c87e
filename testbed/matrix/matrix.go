package matrix

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/report"
	"github.com/decklever/decklever/testbed/scenario"
)

// Names of the report files in the output folder.
const (
	JSONFile  = "matrix.json"
	TableFile = "matrix.md"
)

// Cell is one run of the matrix.
type Cell struct {
	Deployment string
	Scenario   scenario.Scenario
	Seed       uint64
	// Duration is how long callers submit jobs, at least the scenario's MinDuration.
	Duration time.Duration
	// Instance selects the address range, so that concurrent runs do not conflict.
	Instance int
	// Out is the output folder of this run.
	Out string
}

// Config selects the runs and how they are executed.
type Config struct {
	Deployments []string
	Scenarios   []scenario.Scenario
	Seeds       []uint64
	Duration    time.Duration
	// Parallel is the number of concurrent runs, default 1. They use the instances
	// FirstInstance to FirstInstance+Parallel-1.
	Parallel      int
	FirstInstance int
	// Out is the output folder: the report files and one folder for each run.
	Out string
	// Run executes one cell. It is called concurrently if Parallel is over 1.
	Run func(context.Context, Cell) (report.Summary, error)
	// OnOutcome is called after each cell, one call at a time. Optional.
	OnOutcome func(Outcome)
}

// Outcome is the outcome of one cell.
type Outcome struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	// Failure is the error of a run without a summary; empty if there is a summary.
	Failure string `json:"failure,omitempty"`
	// Summary is nil if the run failed before it produced one.
	Summary *report.Summary `json:"summary,omitempty"`
}

// Passed reports whether the run completed and its summary passed.
func (o Outcome) Passed() bool { return o.Summary != nil && o.Summary.Passed }

// Run runs all cells and writes the report after each, so that a cancelled matrix
// leaves a report of the cells that ran. It returns the outcomes in the order of the
// cells, without cells that did not start. After a cancel the error includes that of
// ctx.
func Run(ctx context.Context, config Config) ([]Outcome, error) {
	if err := os.MkdirAll(config.Out, 0o755); err != nil {
		return nil, fmt.Errorf("out folder: %w", err)
	}
	config.Parallel = max(1, config.Parallel)
	cells := config.cells()
	r := &runner{config: config, outcomes: make([]*Outcome, len(cells))}
	indexes := make(chan int)
	var workers sync.WaitGroup
	for slot := range config.Parallel {
		workers.Go(func() {
			for index := range indexes {
				cells[index].Instance = config.FirstInstance + slot
				r.run(ctx, index, cells[index])
			}
		})
	}
	for index := range cells {
		if ctx.Err() != nil {
			break
		}
		indexes <- index
	}
	close(indexes)
	workers.Wait()
	return r.finished(), errors.Join(r.writeError, ctx.Err())
}

// cells returns all runs, ordered by seed first, so that each scenario runs early.
func (c Config) cells() []Cell {
	var cells []Cell
	for _, seed := range c.Seeds {
		for _, deployment := range c.Deployments {
			for _, chosen := range c.Scenarios {
				cells = append(cells, Cell{
					Deployment: deployment, Scenario: chosen, Seed: seed, Duration: max(c.Duration, chosen.MinDuration),
					Out: filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d", deployment, chosen.Name, seed)),
				})
			}
		}
	}
	return cells
}

type runner struct {
	config Config

	mutex      sync.Mutex
	outcomes   []*Outcome
	writeError error
}

func (r *runner) run(ctx context.Context, index int, cell Cell) {
	outcome := Outcome{Deployment: cell.Deployment, Scenario: cell.Scenario.Name, Seed: cell.Seed}
	summary, err := r.config.Run(ctx, cell)
	if err != nil {
		outcome.Failure = err.Error()
	} else {
		outcome.Summary = &summary
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes[index] = &outcome
	if err := writeReport(r.config.Out, r.finishedLocked()); err != nil {
		r.writeError = err
	}
	if r.config.OnOutcome != nil {
		r.config.OnOutcome(outcome)
	}
}

func (r *runner) finished() []Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.finishedLocked()
}

func (r *runner) finishedLocked() []Outcome {
	var done []Outcome
	for _, outcome := range r.outcomes {
		if outcome != nil {
			done = append(done, *outcome)
		}
	}
	return done
}

func writeReport(directory string, outcomes []Outcome) error {
	data, err := json.MarshalIndent(outcomes, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the matrix: %w", err)
	}
	if err := os.WriteFile(filepath.Join(directory, JSONFile), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the matrix: %w", err)
	}
	if err := os.WriteFile(filepath.Join(directory, TableFile), []byte(Table(outcomes)), 0o644); err != nil {
		return fmt.Errorf("write the matrix: %w", err)
	}
	return nil
}
