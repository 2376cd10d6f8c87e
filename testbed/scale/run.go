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
	// minWindow has time for all changes of the configuration.
	minWindow = 15 * time.Second
	// minRamp lets the killed nodes come back before the window.
	minRamp = 14 * time.Second
	// rampMargin follows the task length, so that tasks end as fast as they
	// start when the window begins.
	rampMargin      = 3 * time.Second
	readyTimeout    = 60 * time.Second
	finishTimeout   = 30 * time.Second
	runsEndTimeout  = 6 * time.Second
	runsEndInterval = 200 * time.Millisecond

	resultFile  = "result.json"
	callLogFile = "ledger.jsonl"
)

// run is a scale run under way.
type run struct {
	config         Config
	layout         layout
	calls          *calllog.Log
	fleet          *fleet.Fleet
	hollows        *hollows
	operatorClient *operator.Operator
	callers        *callers
	events         *eventlog.Reader
	meter          *meter
	changes        *changes

	mutex  sync.Mutex
	errors []error
}

// Run measures one size. The result is also written to the out folder.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.check(); err != nil {
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
	if r.calls, err = calllog.Open(filepath.Join(out, callLogFile)); err != nil {
		return nil, err
	}
	r.fleet, err = fleet.New(fleet.Config{
		Deployment: r.layout.deployment, Directory: root, Binaries: config.Binaries, CallLog: r.calls, LogLevel: "info",
	})
	if err != nil {
		return nil, errors.Join(err, r.calls.Close())
	}
	r.operatorClient = operator.New(r.fleet.Client(), r.calls)
	r.events = eventlog.NewReader(r.fleet.EventLogDirectory())
	r.hollows = &hollows{}
	return r, nil
}

func (r *run) close() error {
	return errors.Join(r.hollows.stop(), r.fleet.Stop(), r.calls.Close())
}

// start starts everything and waits until all workers are ready.
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
	if r.hollows, err = startHollows(r.config.Self, r.fleet.LogDirectory(), r.layout.hollow); err != nil {
		return err
	}
	if err := r.fleet.WaitWorkers(ctx, r.config.Size.Workers); err != nil {
		return err
	}
	r.meter = newMeter(r.fleet, r.hollows)
	r.changes = newChanges(r.config.Size, r.fleet, r.operatorClient)
	r.callers, err = newCallers(r.config, r.layout.deployment.FrontURLs(), r.calls)
	return err
}

// measure runs the load and returns what was seen.
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
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watchers.Go(func() { r.events.Follow(watching) })
	watchers.Go(func() {
		if err := r.meter.watchMemory(watching); err != nil {
			cancel(err)
		}
	})
	anchor, from := monoclock.NewAnchor(), monoclock.Now()
	result, err := r.load(ctx)
	if err != nil {
		return result, errors.Join(err, context.Cause(ctx))
	}
	r.waitRunsEnded(ctx)
	r.events.Poll()
	observed := checker.Input{
		Entries: r.calls.Entries(), Events: r.events.Events(), Workers: r.layout.workers,
		Config: r.layout.deployment.Config, Anchor: anchor, LoadFrom: from, LoadTo: result.Window[1], EndedAt: monoclock.Now(),
	}
	r.progress("checking %d journal lines", len(observed.Events))
	r.addObserved(&result, observed)
	return result, context.Cause(ctx)
}

// load fills the fleet, measures the window and lets everything end.
func (r *run) load(ctx context.Context) (Result, error) {
	loading, stopLoading := context.WithCancel(ctx)
	defer stopLoading()
	following, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	var working sync.WaitGroup
	defer working.Wait()
	defer stopLoading()
	working.Go(func() { r.callers.run(loading, following) })

	ramp := max(r.config.Size.taskLength()*(100+100*lengthSpread)/100+rampMargin, minRamp)
	r.progress("ramp of %v", ramp)
	working.Go(func() {
		if !r.config.Faults {
			return
		}
		if err := (faults{r.hollows, r.calls}).run(loading, ramp); err != nil {
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

// window measures while configurations change.
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
		SingleChanges: delaysOf(r.changes.single), BurstChange: millis(r.changes.burst),
		TotalMemoryMB: r.meter.total, TotalCPU: totalCPU(from, to),
		MachineCPU: (to.busy - from.busy) / (to.total - from.total),
	}
	if from.leader != to.leader {
		result.LeaderChanges = 1
	}
	return result
}

// waitRunsEnded waits until the event logs have no open run but those of killed
// workers.
func (r *run) waitRunsEnded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, runsEndTimeout)
	defer cancel()
	before := -1
	for {
		starts, ends := r.events.Counts()
		if starts == ends || starts+ends == before {
			return
		}
		before = starts + ends
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
