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
	// progressPause is how often a run reports its progress.
	progressPause = 100 * time.Millisecond
	// clockSlow is by how much every other worker's clock runs slow, in percent.
	clockSlow = 2
	wholePart = 100 // percent
)

// workerCapacity is that of each worker.
func workerCapacity() api.Resources { return api.Resources{CPUMillis: 4000, MemoryMB: 8000} }

// behaviour is how a worker treats what it runs.
type behaviour struct {
	// failing is the share of runs that fail soon, stalling of those that never
	// end; the worker's heartbeats go on.
	failing, stalling float64
	// slower stretches each run.
	slower int
}

var errUnsound = errors.New("the worker is unsound")

// workerSlot is a machine and address for one worker at a time, over all of its
// incarnations.
type workerSlot struct {
	fleet  *fleet
	number int
	name   string
	zone   string
	agent  *agentMachine

	mutex   sync.Mutex
	random  *rand.Rand
	present *incarnation
	lives   []*incarnation
	behaves behaviour
}

// incarnation is one start of a worker's process.
type incarnation struct {
	worker *worker.Worker
	// dead is closed at a crash, leave ends it in order, and over is closed once
	// it has ended.
	dead  chan struct{}
	leave context.CancelFunc
	over  chan struct{}
}

func (i *incarnation) isDead() bool {
	select {
	case <-i.dead:
		return true
	default:
		return false
	}
}

// startWorkers starts a worker in each slot.
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

// described is what the checker must know of the worker.
func (p *workerSlot) described() checker.Worker {
	return checker.Worker{
		Name: p.name, Zone: p.zone, Capacity: workerCapacity(), Services: []string{serviceName}, Labels: p.labels(),
		Agent: fmt.Sprintf("agent-%d", p.number+1),
	}
}

func (p *workerSlot) labels() map[string]string {
	return map[string]string{"kind": kindOf(p.number), "rack": fmt.Sprint("rack-", p.number/p.fleet.shape.rack)}
}

func kindOf(number int) string { return []string{"a", "b"}[number%2] }

// start starts a new incarnation.
func (p *workerSlot) start() {
	started := &incarnation{dead: make(chan struct{}), over: make(chan struct{})}
	began := time.Now()
	clock := func() time.Duration {
		passed := time.Since(began)
		return passed - passed*time.Duration(clockSlow*(p.number%2))/wholePart
	}
	made, err := worker.New(worker.Config{
		Name: p.name, AgentURL: "http://agent", Capacity: workerCapacity(), Labels: p.labels(), Clock: clock,
		Logger: slog.New(p.fleet.logs).With("worker", p.name),
		HTTPClient: &http.Client{Transport: direct{handler: func(*http.Request) http.Handler {
			if started.isDead() {
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
	started.leave = cancel
	p.mutex.Lock()
	p.present = started
	p.lives = append(p.lives, started)
	p.mutex.Unlock()
	p.fleet.fault(calllog.Entry{Process: p.name, Action: calllog.ActionStart})
	go func() {
		defer close(started.over)
		_ = made.Run(ctx) // reports handlers that go on, as those of the dead do
	}()
}

// record logs what an incarnation does, until it crashes.
func (p *workerSlot) record(started *incarnation, event worker.Event, kind eventlog.Kind) {
	if started.isDead() {
		return
	}
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.fleet.events = append(p.fleet.events, eventlog.Event{
		Mono: p.fleet.now(), Kind: kind, Task: event.Task, Run: event.Run, WorkerID: event.WorkerID,
		Worker: event.Worker, Token: event.Token, Outcome: event.Outcome,
	})
}

// crash ends the incarnation, and all it runs, at once.
func (p *workerSlot) crash() {
	p.mutex.Lock()
	started := p.present
	p.mutex.Unlock()
	if started == nil || started.isDead() {
		return
	}
	p.fleet.fault(calllog.Entry{Process: p.name, Action: calllog.ActionExit, Expected: true})
	close(started.dead)
	started.leave()
}

// drain has the incarnation shut down gracefully, and waits for that.
func (p *workerSlot) drain() {
	p.mutex.Lock()
	started := p.present
	p.mutex.Unlock()
	started.leave()
	<-started.over
	p.fleet.fault(calllog.Entry{Process: p.name, Action: calllog.ActionExit, Expected: true})
}

// setBehaviour changes how the worker treats what it starts from now on.
func (p *workerSlot) setBehaviour(behaves behaviour) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.behaves = behaves
}

// drawnRun is the drawn fate of one run.
type drawnRun struct {
	fails, stalls bool
	slower        int
}

func (p *workerSlot) draw() drawnRun {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	chance := p.random.Float64()
	fails := chance < p.behaves.failing
	return drawnRun{fails: fails, stalls: !fails && chance < p.behaves.failing+p.behaves.stalling, slower: max(1, p.behaves.slower)}
}

// payload says what a task does.
type payload struct {
	WorkMillis int64 `json:"work_ms"`
	// Gang is the number of tasks that can work only together; 0 if the task
	// needs no other.
	Gang int `json:"gang,omitempty"`
	// Endless tasks go on until they are stopped.
	Endless bool `json:"endless,omitempty"`
}

// work does what a task says, as the worker behaves.
func (p *workerSlot) work(ctx context.Context, started *incarnation, task worker.Task) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-started.dead:
			cancel()
		case <-ctx.Done():
		}
	}()
	var work payload
	if err := task.Decode(&work); err != nil {
		return err
	}
	fate := p.draw()
	if fate.fails {
		contexttime.Sleep(ctx, progressPause)
		return errUnsound
	}
	if work.Gang > 0 {
		leave, err := p.fleet.gangs.join(ctx, task.RunRef, work.Gang)
		if err != nil {
			return err
		}
		defer leave()
	}
	if fate.stalls || work.Endless {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.execute(ctx, task, time.Duration(work.WorkMillis)*time.Millisecond*time.Duration(fate.slower))
}

func (p *workerSlot) execute(ctx context.Context, task worker.Task, work time.Duration) error {
	for done := time.Duration(0); done < work; done += progressPause {
		if !contexttime.Sleep(ctx, min(progressPause, work-done)) {
			return ctx.Err()
		}
		_ = task.Report(int(wholePart*min(done+progressPause, work)/work), "")
	}
	return nil
}
