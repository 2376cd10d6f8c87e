package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/worker"
)

// placedTask is the state of one task and its newest run at lossyLeader.
type placedTask struct {
	run uint32
	// assignedSeq is the seq whose answer has the run's assignment; 0 if none yet.
	assignedSeq uint64
	// listed is true once a heartbeat listed the run.
	listed bool
	done   bool
}

// lossyLeader sends the assignment of each run in one answer, drops half of its answers, and
// closes runs as lost only by the rules of docs/DESIGN.md.
type lossyLeader struct {
	mutex      sync.Mutex
	random     *rand.Rand
	tasks      map[string]*placedTask
	highestSeq uint64
	// lostRuns is the number of runs closed as lost.
	lostRuns int
}

func (l *lossyLeader) heartbeat(_ context.Context, request protocol.HeartbeatRequest) (protocol.HeartbeatAnswer, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	heartbeat := request.Heartbeat
	if heartbeat.Seq <= l.highestSeq {
		return protocol.HeartbeatAnswer{}, errors.New("seq is not higher than all before")
	}
	l.highestSeq = heartbeat.Seq
	answer := api.HeartbeatAnswer{Seq: heartbeat.Seq, Token: 1, HoldMillis: 3000, IntervalMillis: 10}
	for _, ended := range heartbeat.Ended {
		task := l.tasks[ended.Task]
		if task.run == ended.Run && ended.Outcome == api.OutcomeSucceeded {
			task.done = true
		}
		answer.Acknowledged = append(answer.Acknowledged, ended.RunRef)
	}
	for name, task := range l.tasks {
		l.reconcile(heartbeat, name, task)
		if task.assignedSeq == 0 && !task.done && !heartbeat.Draining {
			task.assignedSeq = heartbeat.Seq
			answer.Start = append(answer.Start, api.StartOrder{RunRef: api.RunRef{Task: name, Run: task.run}, Spec: api.TaskSpec{Service: "work"}})
		}
	}
	if l.random.IntN(2) == 0 { // the answer is lost: its assignments have no effect
		return protocol.HeartbeatAnswer{}, &rpc.Error{Code: rpc.CodeUnavailable}
	}
	return protocol.HeartbeatAnswer{Answer: answer}, nil
}

func (l *lossyLeader) reconcile(heartbeat api.Heartbeat, name string, task *placedTask) {
	if slices.Contains(heartbeat.Running, api.RunRef{Task: name, Run: task.run}) {
		task.listed = true
	}
	if task.done || task.listed || task.assignedSeq == 0 || heartbeat.AcceptedSeq >= task.assignedSeq {
		return
	}
	task.run++
	task.assignedSeq = 0
	l.lostRuns++
}

func (l *lossyLeader) finished() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, task := range l.tasks {
		if !task.done {
			return false
		}
	}
	return true
}

// TestRelay_LostAnswersNeverStartTaskTwice connects a real worker and agent to a leader that
// drops half of its answers. The leader closes a run whose assignment was in a dropped answer
// and assigns a new run of the task; the worker must not have started the closed one.
func TestRelay_LostAnswersNeverStartTaskTwice(t *testing.T) {
	leader := &lossyLeader{random: rand.New(rand.NewPCG(1, 2)), tasks: make(map[string]*placedTask)}
	for i := range 40 {
		leader.tasks[fmt.Sprintf("j/s/%d", i)] = &placedTask{run: 1}
	}
	server := rpc.NewServer(rpc.ServerConfig{})
	rpc.Handle(server, protocol.MethodHeartbeat, leader.heartbeat)
	scheduler := httptest.NewServer(server)
	defer scheduler.Close()
	agent := httptest.NewServer(startAgent(t, scheduler.Listener.Addr().String(), time.Second))
	defer agent.Close()

	var mutex sync.Mutex
	started := make(map[string]int)
	instance, err := worker.New(worker.Config{Name: "w1", AgentURL: agent.URL, DrainTimeout: -1})
	if err != nil {
		t.Fatal(err)
	}
	instance.Handle("work", func(_ context.Context, task worker.Task) error {
		mutex.Lock()
		defer mutex.Unlock()
		started[task.Task]++
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- instance.Run(ctx) }()
	for !leader.finished() && t.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	for task, count := range started {
		if count != 1 {
			t.Errorf("task %s: got %d starts, want 1", task, count)
		}
	}
	if len(started) != 40 || leader.lostRuns == 0 {
		t.Errorf("got %d tasks started and %d runs closed as lost, want 40 and at least 1", len(started), leader.lostRuns)
	}
}
