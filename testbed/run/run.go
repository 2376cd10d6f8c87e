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
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 60 * time.Second
	// finishTimeout bounds the wait for all jobs to end after the load.
	finishTimeout = 30 * time.Second
	// runsEndTimeout bounds the wait for runs of cancelled jobs to stop. It is
	// longer than the 5 s that the checker allows for that.
	runsEndTimeout  = 6 * time.Second
	runsEndInterval = 100 * time.Millisecond
	// SummaryFile is the name of the JSON summary in the out folder.
	SummaryFile = "summary.json"
	callLogFile = "ledger.jsonl"
)

// Config says what to run.
type Config struct {
	Deployment deployment.Deployment
	Scenario   scenario.Scenario
	Seed       uint64
	// Duration is how long callers submit.
	Duration time.Duration
	// Out is a new or empty folder for all files of the run.
	Out string
	// Binaries is the folder of the programs.
	Binaries string
	// PreviousBinaries is the folder of the programs of an earlier version, for
	// scenarios that start from them. Default: Binaries.
	PreviousBinaries string
	LogLevel         string
	// Progress gets a line every 5 s.
	Progress io.Writer
}

// activeRun is a run in progress.
type activeRun struct {
	config         Config
	calls          *calllog.Log
	fleet          *fleet.Fleet
	operatorClient *operator.Operator
	callers        *load.Generator
	events         *eventlog.Reader
	sampler        *fleet.Sampler
	failures       []error
}

// Run carries out one run. An error means that there is no summary: the fleet did not
// start or the context ended.
func Run(ctx context.Context, config Config) (report.Summary, error) {
	t, err := open(config)
	if err != nil {
		return report.Summary{}, err
	}
	anchor := monoclock.NewAnchor()
	observed, err := t.observe(ctx)
	stopErr := errors.Join(t.fleet.Stop(), t.calls.Close())
	if err != nil {
		return report.Summary{}, errors.Join(err, stopErr)
	}
	if stopErr != nil {
		t.failures = append(t.failures, stopErr)
	}
	observed.Anchor = anchor
	summary := t.summarize(observed)
	return summary, writeSummary(filepath.Join(config.Out, SummaryFile), summary)
}

// open prepares everything and starts nothing.
func open(config Config) (*activeRun, error) {
	if err := emptyFolder(config.Out); err != nil {
		return nil, err
	}
	if config.Scenario.Prepare != nil {
		config.Scenario.Prepare(&config.Deployment)
	}
	calls, err := calllog.Open(filepath.Join(config.Out, callLogFile))
	if err != nil {
		return nil, err
	}
	t := &activeRun{config: config, calls: calls}
	t.fleet, err = fleet.New(fleet.Config{
		Deployment: config.Deployment, Directory: filepath.Join(config.Out, "fleet"),
		Binaries: config.Binaries, PreviousBinaries: config.PreviousBinaries, FirstVersion: config.Scenario.FirstVersion,
		CallLog: calls, LogLevel: config.LogLevel, Seed: config.Seed,
	})
	if err != nil {
		return nil, errors.Join(err, calls.Close())
	}
	t.operatorClient = operator.New(t.fleet.Client(), calls)
	t.events = eventlog.NewReader(t.fleet.EventLogDirectory())
	t.sampler = fleet.NewSampler(t.fleet)
	return t, nil
}

func emptyFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return fmt.Errorf("out folder: %w", err)
	}
	found, err := os.ReadDir(path)
	if err != nil {
		return fmt.Errorf("out folder: %w", err)
	}
	if len(found) > 0 {
		return fmt.Errorf("out folder %s is not empty", path)
	}
	return nil
}

// observe runs the fleet and returns the history of the run.
func (t *activeRun) observe(ctx context.Context) (checker.Input, error) {
	if err := t.start(ctx); err != nil {
		return checker.Input{}, err
	}
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stopWatching()
	watchers.Go(func() { t.events.Follow(watching) })
	watchers.Go(func() { t.sampler.Run(watching) })
	watchers.Go(func() { t.reportProgress(watching) })
	watchers.Go(func() { t.watchRollout(watching) })

	from := monoclock.Now()
	to := t.loadDuringScenario(ctx)
	t.finish(ctx)
	if err := ctx.Err(); err != nil {
		return checker.Input{}, fmt.Errorf("run: %w", err)
	}
	t.events.Poll()
	return checker.Input{
		Entries: t.calls.Entries(), Events: t.events.Events(), Workers: workers(t.config.Deployment), Schedulers: schedulers(t.config.Deployment),
		Config: t.config.Deployment.Config, LoadFrom: from, LoadTo: to, EndedAt: monoclock.Now(),
	}, nil
}

func (t *activeRun) start(ctx context.Context) error {
	if err := t.fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	if err := t.fleet.WaitReady(ctx, t.operatorClient); err != nil {
		return fmt.Errorf("the fleet did not start, see %s: %w", t.fleet.LogDirectory(), err)
	}
	t.progress("fleet ready after %v", time.Since(began).Round(time.Millisecond))
	var err error
	t.callers, err = load.New(load.Config{
		Endpoints: t.config.Deployment.FrontURLs(), Shapes: t.config.Deployment.Shapes, Seed: t.config.Seed, CallLog: t.calls,
	})
	return err
}

// loadDuringScenario runs load and scenario side by side until both are over. It
// returns the end of the load.
func (t *activeRun) loadDuringScenario(ctx context.Context) monoclock.Nanos {
	loading, cancel := context.WithTimeout(ctx, t.config.Duration)
	defer cancel()
	var running sync.WaitGroup
	var failure error
	running.Go(func() {
		failure = t.config.Scenario.Run(ctx, scenario.Env{
			Fleet: t.fleet, Operator: t.operatorClient, Callers: t.callers, Seed: t.config.Seed, Duration: t.config.Duration,
		})
	})
	t.callers.Run(loading)
	to := monoclock.Now()
	running.Wait()
	if failure != nil {
		t.failures = append(t.failures, fmt.Errorf("scenario %s: %w", t.config.Scenario.Name, failure))
	}
	return to
}

// finish waits until all jobs and their runs have ended.
func (t *activeRun) finish(ctx context.Context) {
	finishing, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	t.callers.Finish(finishing)
	if _, err := t.operatorClient.Read(finishing); err != nil {
		t.failures = append(t.failures, fmt.Errorf("last read of the configuration: %w", err))
	}
	ending, cancelSettling := context.WithTimeout(ctx, runsEndTimeout)
	defer cancelSettling()
	t.waitRunsEnded(ending)
}

// waitRunsEnded waits until the event logs have no open run or the context ends.
func (t *activeRun) waitRunsEnded(ctx context.Context) {
	ticker := time.NewTicker(runsEndInterval)
	defer ticker.Stop()
	for {
		if starts, ends := t.events.Counts(); starts == ends {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// summarize checks the history and sums it up.
func (t *activeRun) summarize(observed checker.Input) report.Summary {
	return report.Build(report.Input{
		Deployment: t.config.Deployment.Name, Scenario: t.config.Scenario.Name, Seed: t.config.Seed,
		Duration: t.config.Duration, Observed: observed, Result: checker.All(observed),
		Usage: t.sampler.Usages(), Errors: append(t.failures, t.events.Errors()...),
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
