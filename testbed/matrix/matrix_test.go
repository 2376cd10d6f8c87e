package matrix

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/report"
	"github.com/decklever/decklever/testbed/scenario"
)

func TestRun_EachCellRunsOnceAndIsReported(t *testing.T) {
	var mutex sync.Mutex
	instances, folders := map[int]bool{}, map[string]bool{}
	config := Config{
		Deployments: []string{"here", "there"},
		Scenarios:   []scenario.Scenario{{Name: "calm"}, {Name: "rough", MinDuration: time.Minute}},
		Seeds:       []uint64{1, 2}, Duration: time.Second, Parallel: 2, FirstInstance: 5, Out: t.TempDir(),
		Run: func(_ context.Context, cell Cell) (report.Summary, error) {
			mutex.Lock()
			defer mutex.Unlock()
			instances[cell.Instance], folders[cell.Out] = true, true
			if (cell.Scenario.Name == "rough") != (cell.Duration == time.Minute) {
				t.Errorf("duration of %s: got %v, want 1m0s for rough and 1s for calm", cell.Scenario.Name, cell.Duration)
			}
			if cell.Deployment == "there" && cell.Scenario.Name == "rough" {
				return failedRun(cell.Seed)
			}
			return report.Summary{Passed: true, TasksStarted: 10, LongestServiceGapMillis: float64(cell.Seed)}, nil
		},
	}
	outcomes, err := Run(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	if len(outcomes) != 8 || len(folders) != 8 || instances[4] || instances[7] {
		t.Fatalf("got %d outcomes in %d folders on instances %v, want 8 in 8 on instances 5 and 6 only", len(outcomes), len(folders), instances)
	}
	data, err := os.ReadFile(filepath.Join(config.Out, TableFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| calm | here | 1, 2 | 20 | 0 | none | 2 | – |\n",
		"| rough | there | 1, 2 | 7 | 3 | P1 (2), P11 (1), no result (1) | 0 | 4000 |\n",
	} {
		if !strings.Contains(string(data), want) {
			t.Errorf("table row: want %q, got table:\n%s", want, data)
		}
	}
}

// failedRun returns an error for seed 1 and a summary with violations for other seeds.
func failedRun(seed uint64) (report.Summary, error) {
	if seed == 1 {
		return report.Summary{}, errors.New("the fleet did not start")
	}
	return report.Summary{
		TasksStarted: 7, FaultsInjected: 3, LongestReplacementMillis: 4000,
		Violations: []checker.Violation{{Promise: checker.P1}, {Promise: checker.P11}, {Promise: checker.P1}},
	}, nil
}

func TestRun_FinishedCellsAreReportedAfterCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	config := Config{
		Deployments: []string{"here"}, Scenarios: []scenario.Scenario{{Name: "calm"}}, Seeds: []uint64{1, 2, 3}, Out: t.TempDir(),
		Run: func(context.Context, Cell) (report.Summary, error) {
			cancel()
			return report.Summary{Passed: true}, nil
		},
	}
	outcomes, err := Run(ctx, config)
	if !errors.Is(err, context.Canceled) || len(outcomes) == 0 || len(outcomes) == 3 {
		t.Fatalf("got %d outcomes and error %v, want 1 or 2 and context canceled", len(outcomes), err)
	}
	if _, err := os.Stat(filepath.Join(config.Out, JSONFile)); err != nil {
		t.Error(err)
	}
}
