package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/load"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/operator"
	"github.com/decklever/decklever/testbed/report"
	"github.com/decklever/decklever/testbed/scenario"
)

const (
	// readyTimeout bounds the wait until the started fleet is ready.
	readyTimeout = 60 * time.Second
	// finishTimeout bounds the wait for all jobs to end after the load has stopped.
	finishTimeout = 30 * time.Second
	// runsEndTimeout bounds the wait for the runs of cancelled jobs to end. It is longer
	// than the 5 s that the checker allows, so that a late end is still recorded.
	runsEndTimeout  = 6 * time.Second
	runsEndInterval = 100 * time.Millisecond
	// SummaryFile is the name of the JSON summary in the out folder.
	SummaryFile = "summary.json"
	callLogFile = "ledger.jsonl"
)

// Config configures one run.
type Config struct {
	Deployment deployment.Deployment
	Scenario   scenario.Scenario
	Seed       uint64
	// Duration is how long callers submit.
	Duration time.Duration
	// Out is a new or empty folder for all files of the run.
	Out string
	// Binaries is the folder of the decklever programs.
	Binaries string
	// PreviousBinaries is the folder of an earlier version's programs, for scenarios
	// that start from that version. Default: Binaries.
	PreviousBinaries string
	LogLevel         string
	// Progress receives a line every 5 s. Default: none is written.
	Progress io.Writer
}

// activeRun is a run in progress. Its failures are reported in the summary.
type activeRun struct {
	config         Config
	callLog        *calllog.Log
	fleet          *fleet.Fleet
	operatorClient *operator.Operator
	generator      *load.Generator
	events         *eventlog.Reader
	sampler        *fleet.Sampler
	failures       []error
}

// Run executes one run, and writes the summary that it returns to SummaryFile. It returns
// an error without a summary if the run could not be prepared, the fleet did not start or
// the context ended, and an error with the summary if the file could not be written.
func Run(ctx context.Context, config Config) (report.Summary, error) {
	r, err := prepare(config)
	if err != nil {
		return report.Summary{}, err
	}
	anchor := monoclock.NewAnchor()
	observed, err := r.observe(ctx)
	stopErr := errors.Join(r.fleet.Stop(), r.callLog.Close())
	if err != nil {
		return report.Summary{}, errors.Join(err, stopErr)
	}
	if stopErr != nil {
		r.failures = append(r.failures, stopErr)
	}
	observed.Anchor = anchor
	summary := r.summarize(observed)
	return summary, writeSummary(filepath.Join(config.Out, SummaryFile), summary)
}

// prepare creates the out folder, the call log and the fleet; it starts no process.
func prepare(config Config) (*activeRun, error) {
	if err := ensureEmptyFolder(config.Out); err != nil {
		return nil, err
	}
	if config.Scenario.Prepare != nil {
		config.Scenario.Prepare(&config.Deployment)
	}
	callLog, err := calllog.Open(filepath.Join(config.Out, callLogFile))
	if err != nil {
		return nil, err
	}
	r := &activeRun{config: config, callLog: callLog}
	r.fleet, err = fleet.New(fleet.Config{
		Deployment: config.Deployment, Directory: filepath.Join(config.Out, "fleet"),
		Binaries: config.Binaries, PreviousBinaries: config.PreviousBinaries, FirstVersion: config.Scenario.FirstVersion,
		CallLog: callLog, LogLevel: config.LogLevel, Seed: config.Seed,
	})
	if err != nil {
		return nil, errors.Join(err, callLog.Close())
	}
	r.operatorClient = operator.New(r.fleet.Client(), callLog)
	r.events = eventlog.NewReader(r.fleet.EventLogDirectory())
	r.sampler = fleet.NewSampler(r.fleet)
	return r, nil
}

func ensureEmptyFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return fmt.Errorf("out folder: %w", err)
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return fmt.Errorf("out folder: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("out folder %s is not empty", path)
	}
	return nil
}

// observe starts the fleet, runs load and scenario, and returns the recorded history. The
// caller stops the fleet.
func (r *activeRun) observe(ctx context.Context) (checker.Input, error) {
	if err := r.start(ctx); err != nil {
		return checker.Input{}, err
	}
	watchCtx, stopWatchers := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stopWatchers()
	watchers.Go(func() { r.events.Follow(watchCtx) })
	watchers.Go(func() { r.sampler.Run(watchCtx) })
	watchers.Go(func() { r.reportProgress(watchCtx) })
	watchers.Go(func() { r.watchRollout(watchCtx) })

	loadFrom := monoclock.Now()
	loadTo := r.loadDuringScenario(ctx)
	r.finish(ctx)
	if err := ctx.Err(); err != nil {
		return checker.Input{}, fmt.Errorf("run: %w", err)
	}
	r.events.Poll()
	return checker.Input{
		Entries: r.callLog.Entries(), Events: r.events.Events(), Workers: checkerWorkers(r.config.Deployment), Schedulers: schedulerNames(r.config.Deployment),
		Config: r.config.Deployment.Config, LoadFrom: loadFrom, LoadTo: loadTo, EndedAt: monoclock.Now(),
	}, nil
}

func (r *activeRun) start(ctx context.Context) error {
	if err := r.fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	if err := r.fleet.WaitReady(ctx, r.operatorClient); err != nil {
		return fmt.Errorf("the fleet did not start, see %s: %w", r.fleet.LogDirectory(), err)
	}
	r.progress("fleet ready after %v", time.Since(began).Round(time.Millisecond))
	var err error
	r.generator, err = load.New(load.Config{
		Endpoints: r.config.Deployment.FrontURLs(), Shapes: r.config.Deployment.Shapes, Seed: r.config.Seed, CallLog: r.callLog,
	})
	return err
}

// loadDuringScenario runs load and scenario concurrently until both have ended. It
// returns the time at which the load ended.
func (r *activeRun) loadDuringScenario(ctx context.Context) monoclock.Nanos {
	loadCtx, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	var scenarioRun sync.WaitGroup
	var scenarioErr error
	scenarioRun.Go(func() {
		scenarioErr = r.config.Scenario.Run(ctx, scenario.Env{
			Fleet: r.fleet, Operator: r.operatorClient, Callers: r.generator, Seed: r.config.Seed, Duration: r.config.Duration,
		})
	})
	r.generator.Run(loadCtx)
	loadTo := monoclock.Now()
	scenarioRun.Wait()
	if scenarioErr != nil {
		r.failures = append(r.failures, fmt.Errorf("scenario %s: %w", r.config.Scenario.Name, scenarioErr))
	}
	return loadTo
}

// finish cancels the jobs that run until cancelled and waits until all jobs and their runs
// have ended, within finishTimeout and runsEndTimeout.
func (r *activeRun) finish(ctx context.Context) {
	finishCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	r.generator.Finish(finishCtx)
	if _, err := r.operatorClient.Read(finishCtx); err != nil {
		r.failures = append(r.failures, fmt.Errorf("last read of the configuration: %w", err))
	}
	runsEndCtx, cancelRunsEnd := context.WithTimeout(ctx, runsEndTimeout)
	defer cancelRunsEnd()
	r.waitRunsEnded(runsEndCtx)
}

// waitRunsEnded waits until the event logs have as many ends as starts, or the context
// ends.
func (r *activeRun) waitRunsEnded(ctx context.Context) {
	ticker := time.NewTicker(runsEndInterval)
	defer ticker.Stop()
	for {
		if starts, ends := r.events.Counts(); starts == ends {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// summarize checks the recorded history and builds the summary.
func (r *activeRun) summarize(observed checker.Input) report.Summary {
	return report.Build(report.Input{
		Deployment: r.config.Deployment.Name, Scenario: r.config.Scenario.Name, Seed: r.config.Seed,
		Duration: r.config.Duration, Observed: observed, Result: checker.All(observed),
		Usage: r.sampler.Usages(), Errors: append(r.failures, r.events.Errors()...),
	})
}

func writeSummary(path string, summary report.Summary) error {
	data, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}
