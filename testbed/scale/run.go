package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/monoclock"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	// minWindow leaves time for all changes of the configuration.
	minWindow = 15 * time.Second
	// minRamp leaves time for the killed agents and workers to restart before the window.
	minRamp = 14 * time.Second
	// rampMargin extends the ramp beyond the longest run time of a task, so that tasks
	// end at the rate at which they start when the window begins.
	rampMargin      = 3 * time.Second
	readyTimeout    = 60 * time.Second
	finishTimeout   = 30 * time.Second
	runsEndTimeout  = 6 * time.Second
	runsEndInterval = 200 * time.Millisecond

	resultFile  = "result.json"
	callLogFile = "ledger.jsonl"
)

// run is a scale run in progress. The mutex guards errors.
type run struct {
	config         Config
	layout         layout
	callLog        *calllog.Log
	fleet          *fleet.Fleet
	hollows        *hollows
	operatorClient *operator.Operator
	callers        *callers
	eventReader    *eventlog.Reader
	meter          *meter
	changes        *changes

	mutex  sync.Mutex
	errors []error
}

// Run measures one size. Without an error it also writes the result to the output folder.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	r, err := open(config)
	if err != nil {
		return Result{}, err
	}
	result, err := r.measure(ctx)
	err = errors.Join(err, r.close())
	if err != nil {
		return result, err
	}
	return result, writeJSON(filepath.Join(config.Out, resultFile), result)
}

func open(config Config) (*run, error) {
	out, err := filepath.Abs(config.Out)
	if err != nil {
		return nil, fmt.Errorf("out folder: %w", err)
	}
	if found, err := os.ReadDir(out); err == nil && len(found) > 0 {
		return nil, fmt.Errorf("out folder %s is not empty", out)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return nil, fmt.Errorf("out folder: %w", err)
	}
	config.Out = out
	root := filepath.Join(out, "fleet")
	r := &run{config: config, layout: newLayout(config, filepath.Join(root, "journals"))}
	if r.callLog, err = calllog.Open(filepath.Join(out, callLogFile)); err != nil {
		return nil, err
	}
	r.fleet, err = fleet.New(fleet.Config{
		Deployment: r.layout.deployment, Directory: root, Binaries: config.Binaries, CallLog: r.callLog, LogLevel: "info",
	})
	if err != nil {
		return nil, errors.Join(err, r.callLog.Close())
	}
	r.operatorClient = operator.New(r.fleet.Client(), r.callLog)
	r.eventReader = eventlog.NewReader(r.fleet.EventLogDirectory())
	r.hollows = &hollows{}
	return r, nil
}

func (r *run) close() error {
	return errors.Join(r.hollows.stop(), r.fleet.Stop(), r.callLog.Close())
}

// start starts all processes and waits until all workers are ready, at most readyTimeout.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.fleet.Start(); err != nil {
		return err
	}
	if err := r.fleet.WaitReady(ctx, r.operatorClient); err != nil {
		return fmt.Errorf("the fleet did not start, see %s: %w", r.fleet.LogDirectory(), err)
	}
	var err error
	if r.hollows, err = startHollows(r.config.Executable, r.fleet.LogDirectory(), r.layout.hollowSpecs); err != nil {
		return err
	}
	if err := r.fleet.WaitWorkers(ctx, r.config.Size.Workers); err != nil {
		return err
	}
	r.meter = newMeter(r.fleet, r.hollows)
	r.changes = newChanges(r.config.Size, r.fleet, r.operatorClient)
	r.callers, err = newCallers(r.config, r.layout.deployment.FrontURLs(), r.callLog)
	return err
}

// measure starts the fleet, runs the load and returns the measured result.
func (r *run) measure(ctx context.Context) (Result, error) {
	began := time.Now()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	r.progress("%d workers ready after %v", r.config.Size.Workers, time.Since(began).Round(time.Millisecond))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watchers.Go(func() { r.eventReader.Follow(watchCtx) })
	watchers.Go(func() {
		if err := r.meter.watchMemory(watchCtx); err != nil {
			cancel(err)
		}
	})
	anchor, from := monoclock.NewAnchor(), monoclock.Now()
	result, err := r.load(ctx)
	if err != nil {
		return result, errors.Join(err, context.Cause(ctx))
	}
	r.waitRunsEnded(ctx)
	r.eventReader.Poll()
	observed := checker.Input{
		Entries: r.callLog.Entries(), Events: r.eventReader.Events(), Workers: r.layout.workers,
		Config: r.layout.deployment.Config, Anchor: anchor, LoadFrom: from, LoadTo: result.Window[1], EndedAt: monoclock.Now(),
	}
	r.progress("checking %d events of the event logs", len(observed.Events))
	r.addObserved(&result, observed)
	return result, context.Cause(ctx)
}

// load ramps up the load and measures the window. Then it stops the submissions, cancels
// open jobs and waits until all jobs are final, at most finishTimeout.
func (r *run) load(ctx context.Context) (Result, error) {
	loadCtx, stopLoading := context.WithCancel(ctx)
	defer stopLoading()
	followCtx, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	var working sync.WaitGroup
	defer working.Wait()
	defer stopLoading()
	working.Go(func() { r.callers.run(loadCtx, followCtx) })

	ramp := max(r.config.Size.taskDuration()*(100+100*durationSpread)/100+rampMargin, minRamp)
	r.progress("ramp of %v", ramp)
	working.Go(func() {
		if !r.config.Faults {
			return
		}
		if err := (faults{r.hollows, r.callLog}).run(loadCtx, ramp); err != nil {
			r.recordError(fmt.Errorf("faults: %w", err))
		}
	})
	if !contexttime.Sleep(ctx, ramp) {
		return Result{}, ctx.Err()
	}
	result, err := r.window(ctx)
	stopLoading()
	working.Wait()
	if err != nil {
		return result, err
	}
	r.progress("window is over, finishing")
	finishing := time.AfterFunc(finishTimeout, stopFollowing)
	defer finishing.Stop()
	r.callers.finish()
	return result, nil
}

// window takes a snapshot before and after the window, during which the configuration
// changes.
func (r *run) window(ctx context.Context) (Result, error) {
	r.meter.resetMemory()
	from, err := r.meter.snapshot(ctx)
	if err != nil {
		return Result{}, err
	}
	r.progress("window of %v", r.config.Window)
	var changing sync.WaitGroup
	changing.Go(func() {
		if err := r.changes.run(ctx); err != nil {
			r.recordError(fmt.Errorf("changes: %w", err))
		}
	})
	contexttime.Sleep(ctx, r.config.Window)
	r.meter.sampleMemory()
	to, err := r.meter.snapshot(ctx)
	changing.Wait()
	if err != nil {
		return Result{}, err
	}
	return r.result(from, to), nil
}

func (r *run) result(from, to snapshot) Result {
	r.meter.mutex.Lock()
	defer r.meter.mutex.Unlock()
	result := Result{
		Size: r.config.Size, WindowSeconds: to.at.Sub(from.at).Seconds(),
		Window: [2]monoclock.Nanos{from.at, to.at},
		Roles:  r.meter.usages(from, to), Hollow: r.meter.hollowUsage(from, to),
		SingleChanges: delaysOf(r.changes.singleDelays), BurstChange: millis(r.changes.burstDelay),
		TotalMemoryMB: r.meter.peakTotalMemory, TotalCPU: totalCPU(from, to),
		MachineCPU: (to.busy - from.busy) / (to.total - from.total),
	}
	if from.leader != to.leader {
		result.LeaderChanges = 1
	}
	return result
}

// waitRunsEnded waits until the event logs have an end for each start, or no new events
// within 1 s, as the runs of killed workers have no end. It waits at most
// runsEndTimeout.
func (r *run) waitRunsEnded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, runsEndTimeout)
	defer cancel()
	previous := -1
	for {
		starts, ends := r.eventReader.Counts()
		if starts == ends || starts+ends == previous {
			return
		}
		previous = starts + ends
		if !contexttime.Sleep(ctx, 5*runsEndInterval) {
			return
		}
	}
}

// recordError records a failure of the test bed without ending the run.
func (r *run) recordError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.errors = append(r.errors, err)
}

func (r *run) progress(format string, arguments ...any) {
	if r.config.Progress != nil {
		_, _ = fmt.Fprintf(r.config.Progress, "scale: "+format+"\n", arguments...)
	}
}
