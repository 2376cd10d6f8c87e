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

// Files in the out folder.
const (
	JSONFile  = "matrix.json"
	TableFile = "matrix.md"
)

// Cell is one run.
type Cell struct {
	Deployment string
	Scenario   scenario.Scenario
	Seed       uint64
	// Duration is how long callers submit; it is no shorter than the scenario's
	// least.
	Duration time.Duration
	// Instance moves the addresses, so that runs at the same time do not meet.
	Instance int
	// Out is the run's own folder.
	Out string
}

// Config says what to run.
type Config struct {
	Deployments []string
	Scenarios   []scenario.Scenario
	Seeds       []uint64
	Duration    time.Duration
	// Parallel is how many runs there are at a time; they use the instances
	// from FirstInstance on. Default 1.
	Parallel      int
	FirstInstance int
	// Out is the folder of the report and of one folder for each run.
	Out string
	// Run carries out one cell.
	Run func(context.Context, Cell) (report.Summary, error)
	// Done is called after each cell. Optional.
	Done func(Outcome)
}

// Outcome is what came of one cell.
type Outcome struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	// Failure says why there is no summary; empty if there is one.
	Failure string `json:"failure,omitempty"`
	// Summary is nil if the run came to none.
	Summary *report.Summary `json:"summary,omitempty"`
}

// Passed reports whether the run came to an end and broke nothing.
func (o Outcome) Passed() bool { return o.Summary != nil && o.Summary.Passed }

// Run runs all cells and writes the report after each, so that a cancelled matrix
// leaves the report of what ran. It returns the outcomes in the order of the cells;
// those that did not start are missing.
func Run(ctx context.Context, config Config) ([]Outcome, error) {
	if err := os.MkdirAll(config.Out, 0o755); err != nil {
		return nil, fmt.Errorf("out folder: %w", err)
	}
	config.Parallel = max(1, config.Parallel)
	cells := config.cells()
	r := &runner{config: config, outcomes: make([]*Outcome, len(cells))}
	waiting := make(chan int)
	var workers sync.WaitGroup
	for number := range config.Parallel {
		workers.Go(func() {
			for index := range waiting {
				cells[index].Instance = config.FirstInstance + number
				r.run(ctx, index, cells[index])
			}
		})
	}
	for index := range cells {
		if ctx.Err() != nil {
			break
		}
		waiting <- index
	}
	close(waiting)
	workers.Wait()
	return r.finished(), errors.Join(r.failure, ctx.Err())
}

// cells lists all runs: seed by seed, so that each scenario is seen early.
func (c Config) cells() []Cell {
	var cells []Cell
	for _, seed := range c.Seeds {
		for _, deployment := range c.Deployments {
			for _, found := range c.Scenarios {
				cells = append(cells, Cell{
					Deployment: deployment, Scenario: found, Seed: seed, Duration: max(c.Duration, found.MinDuration),
					Out: filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d", deployment, found.Name, seed)),
				})
			}
		}
	}
	return cells
}

type runner struct {
	config Config

	mutex    sync.Mutex
	outcomes []*Outcome
	failure  error
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
	if err := write(r.config.Out, r.finishedLocked()); err != nil {
		r.failure = err
	}
	if r.config.Done != nil {
		r.config.Done(outcome)
	}
}

func (r *runner) finished() []Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.finishedLocked()
}

func (r *runner) finishedLocked() []Outcome {
	var listed []Outcome
	for _, outcome := range r.outcomes {
		if outcome != nil {
			listed = append(listed, *outcome)
		}
	}
	return listed
}

func write(directory string, outcomes []Outcome) error {
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
