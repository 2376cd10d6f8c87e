package model

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/checker"
	"github.com/decklever/decklever/testbed/eventlog"
	"github.com/decklever/decklever/worker"
)

const (
	serviceName = "work"
	// progressPause is the interval at which a run reports its progress.
	progressPause = 100 * time.Millisecond
	// clockLagPercent is how much slower the clock of every other worker runs, in percent.
	clockLagPercent = 2
	hundredPercent  = 100
)

// workerCapacity returns the capacity of each worker.
func workerCapacity() api.Resources { return api.Resources{CPUMillis: 4000, MemoryMB: 8000} }

// behaviour describes the faults that a worker injects into its runs.
type behaviour struct {
	// failingShare is the share of the runs that fail after progressPause, stallingShare
	// the share that never end unless they are stopped. The worker's heartbeats continue
	// in both cases.
	failingShare, stallingShare float64
	// slowdown multiplies the duration of each run; values below 1 count as 1.
	slowdown int
}

var errInjectedFailure = errors.New("the worker is unsound")

// workerSlot is a machine on which one worker runs, through all of its incarnations. mutex
// guards the fields below it.
type workerSlot struct {
	fleet  *fleet
	number int
	name   string
	zone   string
	agent  *agentMachine

	mutex        sync.Mutex
	random       *rand.Rand
	current      *incarnation
	incarnations []*incarnation
	injected     behaviour
}

// incarnation is one process of a worker, from its start to its end.
type incarnation struct {
	worker *worker.Worker
	// crashed is closed when the incarnation crashes, shutDown begins a graceful shutdown,
	// and ended is closed once Run has returned.
	crashed  chan struct{}
	shutDown context.CancelFunc
	ended    chan struct{}
}

func (i *incarnation) hasCrashed() bool {
	select {
	case <-i.crashed:
		return true
	default:
		return false
	}
}

// startWorkers creates all worker slots, each with its agent, and starts their workers.
func (f *fleet) startWorkers() {
	for number := range f.shape.workers {
		agentName := fmt.Sprintf("agent-%d", number+1)
		one := &workerSlot{
			fleet: f, number: number, name: fmt.Sprintf("worker-%d", number+1), zone: f.zone(number),
			agent: f.newAgent(agentName, f.zone(number)), random: rand.New(rand.NewPCG(f.seed, uint64(1000+number))),
		}
		f.slots = append(f.slots, one)
		one.start()
	}
}

// checkerWorker returns the description of the worker for the checker.
func (p *workerSlot) checkerWorker() checker.Worker {
	return checker.Worker{
		Name: p.name, Zone: p.zone, Capacity: workerCapacity(), Services: []string{serviceName}, Labels: p.labels(),
		Agent: fmt.Sprintf("agent-%d", p.number+1),
	}
}

func (p *workerSlot) labels() map[string]string {
	return map[string]string{"kind": kindOf(p.number), "rack": fmt.Sprint("rack-", p.number/p.fleet.shape.workersPerRack)}
}

func kindOf(number int) string { return []string{"a", "b"}[number%2] }

// start starts a new incarnation.
func (p *workerSlot) start() {
	started := &incarnation{crashed: make(chan struct{}), ended: make(chan struct{})}
	began := time.Now()
	clock := func() time.Duration {
		passed := time.Since(began)
		return passed - passed*time.Duration(clockLagPercent*(p.number%2))/hundredPercent
	}
	made, err := worker.New(worker.Config{
		Name: p.name, AgentURL: "http://agent", Capacity: workerCapacity(), Labels: p.labels(), Clock: clock,
		Logger: slog.New(p.fleet.logs).With("worker", p.name),
		HTTPClient: &http.Client{Transport: handlerTransport{handler: func(*http.Request) http.Handler {
			if started.hasCrashed() {
				return nil
			}
			return p.agent.agent.Load()
		}}},
		OnStart: func(event worker.Event) { p.record(started, event, eventlog.KindStart) },
		OnEnd:   func(event worker.Event) { p.record(started, event, eventlog.KindEnd) },
	})
	if err != nil {
		p.fleet.t.Error(err)
		return
	}
	started.worker = made
	made.Handle(serviceName, func(ctx context.Context, task worker.Task) error { return p.work(ctx, started, task) })
	ctx, cancel := context.WithCancel(context.Background())
	started.shutDown = cancel
	p.mutex.Lock()
	p.current = started
	p.incarnations = append(p.incarnations, started)
	p.mutex.Unlock()
	p.fleet.recordFault(calllog.Entry{Process: p.name, Action: calllog.ActionStart})
	go func() {
		defer close(started.ended)
		_ = made.Run(ctx) // may be ErrHandlersRunning after a crash
	}()
}

// record adds an event of an incarnation to the event log, unless the incarnation has
// crashed.
func (p *workerSlot) record(started *incarnation, event worker.Event, kind eventlog.Kind) {
	if started.hasCrashed() {
		return
	}
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.fleet.events = append(p.fleet.events, eventlog.Event{
		Mono: p.fleet.now(), Kind: kind, Task: event.Task, Run: event.Run, WorkerID: event.WorkerID,
		Worker: event.Worker, Token: event.Token, Outcome: event.Outcome,
	})
}

// crash ends the current incarnation and all its runs immediately. It does nothing if there
// is none or it has crashed already.
func (p *workerSlot) crash() {
	p.mutex.Lock()
	started := p.current
	p.mutex.Unlock()
	if started == nil || started.hasCrashed() {
		return
	}
	p.fleet.recordFault(calllog.Entry{Process: p.name, Action: calllog.ActionExit, Expected: true})
	close(started.crashed)
	started.shutDown()
}

// drain shuts down the current incarnation gracefully and waits until it has ended.
func (p *workerSlot) drain() {
	p.mutex.Lock()
	started := p.current
	p.mutex.Unlock()
	started.shutDown()
	<-started.ended
	p.fleet.recordFault(calllog.Entry{Process: p.name, Action: calllog.ActionExit, Expected: true})
}

// setBehaviour sets the behaviour of the worker for runs that it starts from now on.
func (p *workerSlot) setBehaviour(injected behaviour) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.injected = injected
}

// drawnRun is the drawn behaviour of one run.
type drawnRun struct {
	fails, stalls bool
	slowdown      int
}

func (p *workerSlot) draw() drawnRun {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	chance := p.random.Float64()
	fails := chance < p.injected.failingShare
	return drawnRun{fails: fails, stalls: !fails && chance < p.injected.failingShare+p.injected.stallingShare, slowdown: max(1, p.injected.slowdown)}
}

// payload is the payload of a task and describes what the task does.
type payload struct {
	WorkMillis int64 `json:"work_ms"`
	// Gang is the number of members of the task's gang; 0 if the task is not in a gang.
	Gang int `json:"gang,omitempty"`
	// Endless says that the task runs until it is stopped.
	Endless bool `json:"endless,omitempty"`
}

// work is the handler of all tasks: it executes a payload with the injected behaviour. A
// crash of the incarnation cancels it.
func (p *workerSlot) work(ctx context.Context, started *incarnation, task worker.Task) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-started.crashed:
			cancel()
		case <-ctx.Done():
		}
	}()
	var work payload
	if err := task.Decode(&work); err != nil {
		return err
	}
	drawn := p.draw()
	if drawn.fails {
		contexttime.Sleep(ctx, progressPause)
		return errInjectedFailure
	}
	if work.Gang > 0 {
		leave, err := p.fleet.gangs.join(ctx, task.RunRef, work.Gang)
		if err != nil {
			return err
		}
		defer leave()
	}
	if drawn.stalls || work.Endless {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.execute(ctx, task, time.Duration(work.WorkMillis)*time.Millisecond*time.Duration(drawn.slowdown))
}

func (p *workerSlot) execute(ctx context.Context, task worker.Task, work time.Duration) error {
	for done := time.Duration(0); done < work; done += progressPause {
		if !contexttime.Sleep(ctx, min(progressPause, work-done)) {
			return ctx.Err()
		}
		_ = task.Report(int(hundredPercent*min(done+progressPause, work)/work), "")
	}
	return nil
}
