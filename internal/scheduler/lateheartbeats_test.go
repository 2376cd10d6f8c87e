package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/decklever/decklever/api"
)

const (
	lateHeartbeatSeeds = 400
	lateHeartbeatSteps = 80
)

// TestLateHeartbeats_TaskNeverRunsTwice draws heartbeats that are lost, held up, overtaken and
// doubled, and changes of leader, within the leases of the workers. No task may start while
// another run of it is under way, or after one has succeeded.
func TestLateHeartbeats_TaskNeverRunsTwice(t *testing.T) {
	for seed := range uint64(lateHeartbeatSeeds) {
		network := newLateNetwork(t, seed)
		for range lateHeartbeatSteps {
			network.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d failed", seed)
		}
	}
}

// lateNetwork connects workers with a harness through a network that delays heartbeats.
type lateNetwork struct {
	*harness
	random  *rand.Rand
	workers []*delayedWorker
	// held are heartbeats in transit, whose answers the workers no longer accept.
	held []api.Heartbeat
	// runningOn and done are what the workers know of each task.
	runningOn map[string]string
	done      map[string]bool
	jobs      int
}

// delayedWorker follows the worker's side of the protocol.
type delayedWorker struct {
	heartbeat  api.Heartbeat
	highestRun map[string]uint32
}

func newLateNetwork(t *testing.T, seed uint64) *lateNetwork {
	t.Helper()
	network := &lateNetwork{
		harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 1)),
		runningOn: make(map[string]string), done: make(map[string]bool),
	}
	for index := range 2 {
		worker := network.newWorker("w", "w")
		worker.heartbeat.Name = fmt.Sprintf("w%d", index)
		worker.heartbeat.WorkerID = worker.heartbeat.Name
		network.workers = append(network.workers, &delayedWorker{heartbeat: worker.heartbeat, highestRun: make(map[string]uint32)})
	}
	return network
}

func (n *lateNetwork) step() {
	worker := n.workers[n.random.IntN(len(n.workers))]
	switch n.random.IntN(12) {
	case 0:
		n.jobs++
		n.submit(fmt.Sprintf("j%d", n.jobs), tasks(1+n.random.IntN(3)))
	case 1:
		n.newTerm()
		n.settle()
	case 2:
		n.end(worker)
	case 3, 4:
		n.held = append(n.held, worker.next())
	case 5, 6:
		n.deliverHeld()
	case 7:
		_, _ = n.deliver(n.t.Context(), worker.next()) // the answer is lost
	case 8:
		heartbeat := worker.next()
		n.held = append(n.held, heartbeat)
		n.exchange(worker, heartbeat)
	default:
		n.exchange(worker, worker.next())
	}
}

// next returns the worker's next heartbeat.
func (w *delayedWorker) next() api.Heartbeat {
	w.heartbeat.Seq++
	heartbeat := w.heartbeat
	heartbeat.Running, heartbeat.Ended = slices.Clone(heartbeat.Running), slices.Clone(heartbeat.Ended)
	return heartbeat
}

// deliverHeld delivers one of the held heartbeats.
func (n *lateNetwork) deliverHeld() {
	if len(n.held) == 0 {
		return
	}
	index := n.random.IntN(len(n.held))
	heartbeat := n.held[index]
	n.held = slices.Delete(n.held, index, index+1)
	_, _ = n.deliver(n.t.Context(), heartbeat)
}

// exchange delivers a heartbeat whose answer, if there is one, the worker accepts.
func (n *lateNetwork) exchange(worker *delayedWorker, heartbeat api.Heartbeat) {
	answer, err := n.deliver(n.t.Context(), heartbeat)
	if err != nil {
		return
	}
	worker.heartbeat.AcceptedSeq, worker.heartbeat.AcceptedToken = answer.Seq, answer.Token
	worker.heartbeat.Ended = slices.DeleteFunc(worker.heartbeat.Ended, func(end api.EndedRun) bool {
		return slices.Contains(answer.Acknowledged, end.RunRef)
	})
	for _, run := range answer.Stop {
		n.stop(worker, run)
	}
	for _, order := range answer.Start {
		n.start(worker, order.RunRef)
	}
}

func (n *lateNetwork) start(worker *delayedWorker, run api.RunRef) {
	if run.Run <= worker.highestRun[run.Task] {
		return
	}
	if other := n.runningOn[run.Task]; other != "" || n.done[run.Task] {
		n.t.Errorf("run %d of %s started on %s, while one runs on %q, succeeded before: %t", run.Run, run.Task, worker.heartbeat.Name, other, n.done[run.Task])
	}
	n.runningOn[run.Task] = worker.heartbeat.Name
	worker.heartbeat.Running = append(worker.heartbeat.Running, run)
}

func (n *lateNetwork) stop(worker *delayedWorker, run api.RunRef) {
	worker.highestRun[run.Task] = max(worker.highestRun[run.Task], run.Run)
	if index := slices.Index(worker.heartbeat.Running, run); index >= 0 {
		n.finish(worker, index, api.OutcomeStopped)
	}
}

// end ends one of the worker's runs, mostly with success.
func (n *lateNetwork) end(worker *delayedWorker) {
	if len(worker.heartbeat.Running) == 0 {
		return
	}
	outcome := api.OutcomeSucceeded
	if n.random.IntN(4) == 0 {
		outcome = api.OutcomeStopped
	}
	n.finish(worker, n.random.IntN(len(worker.heartbeat.Running)), outcome)
}

func (n *lateNetwork) finish(worker *delayedWorker, index int, outcome api.Outcome) {
	run := worker.heartbeat.Running[index]
	worker.heartbeat.Running = slices.Delete(slices.Clone(worker.heartbeat.Running), index, index+1)
	worker.heartbeat.Ended = append(worker.heartbeat.Ended, api.EndedRun{RunRef: run, Outcome: outcome})
	worker.highestRun[run.Task] = max(worker.highestRun[run.Task], run.Run)
	delete(n.runningOn, run.Task)
	n.done[run.Task] = n.done[run.Task] || outcome == api.OutcomeSucceeded
}
