package worker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
)

// sleepHandler sleeps 10 s and then checks the lease before it reports success.
func sleepHandler(ctx context.Context, task Task) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(10 * time.Second):
	}
	if !task.Held() {
		return ErrHoldLapsed
	}
	return nil
}

// startTestWorker runs a worker that records its handlers' calls. stop cancels
// the context of Run and returns Run's error.
func startTestWorker(t *testing.T, agent *fakeAgent, clock Clock) (calls *handlerCalls, stop func() error) {
	t.Helper()
	calls = &handlerCalls{started: make(map[api.RunRef]int)}
	w, err := New(Config{
		Name: "w", AgentURL: "http://agent", HTTPClient: &http.Client{Transport: agent}, Clock: clock,
		OnStart: calls.start, OnEnd: calls.end,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.Handle("sleep", sleepHandler)
	w.Handle("panic", func(context.Context, Task) error { panic("at once") })
	w.Handle("ignores-context", func(context.Context, Task) error { time.Sleep(time.Minute); return errors.New("late") })
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- w.Run(ctx) }()
	return calls, func() error { cancel(); return <-result }
}

func orderFor(service string, task string) api.StartOrder {
	return api.StartOrder{RunRef: ref(task, 1), Spec: api.TaskSpec{Service: service}}
}

func TestLoop_RunsReportsAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeLimited := orderFor("sleep", "j/s/2")
		timeLimited.Spec.MaxDuration = api.Duration(time.Second)
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0"), orderFor("panic", "j/s/1"), timeLimited}}
		calls, stop := startTestWorker(t, agent, nil)
		time.Sleep(15 * time.Second)
		agent.set(func() { agent.orders = append(agent.orders, orderFor("sleep", "j/s/3")) })
		time.Sleep(time.Second)
		stopStarted := time.Now()
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(stopStarted); took < DefaultDrainTimeout || took > 2*time.Second {
			t.Errorf("drain took %v, want from DefaultDrainTimeout to 2s", took)
		}
		want := []string{"j/s/1 failed", "j/s/2 failed", "j/s/0 succeeded", "j/s/3 stopped"}
		var got []string
		for _, ended := range agent.acknowledged {
			got = append(got, fmt.Sprintf("%s %s", ended.Task, ended.Outcome))
		}
		if !slices.Equal(got, want) {
			t.Errorf("acknowledged reports: got %v, want %v", got, want)
		}
		if len(calls.started) != 4 || slices.Max(slices.Collect(maps.Values(calls.started))) != 1 || len(calls.ended) != 4 {
			t.Errorf("started %v, ended %v, want 4 runs, each started once and ended", calls.started, calls.ended)
		}
		if last := agent.heartbeats[len(agent.heartbeats)-1]; !last.Draining {
			t.Error("last heartbeat: got draining false, want true")
		}
		checkHeartbeats(t, agent)
	})
}

// checkHeartbeats checks that at most one heartbeat was outstanding at a time,
// that Seq rose by one, and that heartbeats were at least heartbeatSpacing apart.
func checkHeartbeats(t *testing.T, agent *fakeAgent) {
	t.Helper()
	if agent.overlapped {
		t.Error("got two heartbeats outstanding at a time, want at most one")
	}
	for i, heartbeat := range agent.heartbeats {
		if heartbeat.Seq != uint64(i+1) {
			t.Fatalf("heartbeat at index %d: got seq %d, want index+1", i, heartbeat.Seq)
		}
		if i > 0 && agent.sentAt[i].Sub(agent.sentAt[i-1]) < heartbeatSpacing {
			t.Fatalf("heartbeats %d and %d are less than heartbeatSpacing apart", i, i+1)
		}
	}
}

func TestLoop_EndedRunIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("panic", "j/s/0")}}
		_, stop := startTestWorker(t, agent, nil)
		time.Sleep(2 * heartbeatSpacing)
		agent.set(func() {
			if len(agent.heartbeats) != 2 || len(agent.acknowledged) != 1 {
				t.Errorf("got %d heartbeats and %d reports, want 2 and 1: a run that ended is reported without waiting for the interval", len(agent.heartbeats), len(agent.acknowledged))
			}
		})
		if err := stop(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestLoop_LeaseExpiryStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		calls, stop := startTestWorker(t, agent, nil)
		time.Sleep(time.Second)
		agent.set(func() { agent.down = true })
		time.Sleep(testLease)
		calls.wantStopped(t, ref("j/s/0", 1))
		var before int
		agent.set(func() { agent.down = false; before = len(agent.heartbeats) })
		time.Sleep(time.Second)
		agent.set(func() {
			if len(agent.heartbeats) <= before || len(agent.acknowledged) != 1 {
				t.Error("agent reachable again: got no new heartbeat or not exactly one report, want both")
			}
		})
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		checkHeartbeats(t, agent)
	})
}

func TestLoop_TimedOutAnswerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{delay: 2 * requestTimeout, orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		calls, stop := startTestWorker(t, agent, nil)
		time.Sleep(10 * time.Second)
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		if len(calls.started) != 0 {
			t.Errorf("started runs: got %v, want none", calls.started)
		}
		checkHeartbeats(t, agent)
	})
}

// TestLoop_SuspendedProcessStopsRunsOnResume guards against a process that
// continues under an expired lease after it was suspended for 25 s: it must cancel
// its runs and discard the answer that was in flight during the suspension.
func TestLoop_SuspendedProcessStopsRunsOnResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		var suspended time.Duration
		started := time.Now()
		clock := func() time.Duration {
			mutex.Lock()
			defer mutex.Unlock()
			return time.Since(started) + suspended
		}
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		calls, stop := startTestWorker(t, agent, clock)
		time.Sleep(1050 * time.Millisecond)
		// The answer in flight when the process is suspended contains an order.
		agent.set(func() { agent.delay = 300 * time.Millisecond })
		time.Sleep(250 * time.Millisecond)
		agent.set(func() { agent.orders = []api.StartOrder{orderFor("sleep", "j/s/1")}; agent.delay = 0 })
		mutex.Lock()
		suspended = 25 * time.Second
		mutex.Unlock()
		time.Sleep(300 * time.Millisecond)
		calls.wantStopped(t, ref("j/s/0", 1))
		agent.set(func() {
			if len(agent.orders) != 0 {
				t.Error("got the order still unsent, want it sent in an answer")
			}
		})
		if calls.count(ref("j/s/1", 1)) != 0 {
			t.Error("an order from an answer sent before the suspension was started, want it discarded")
		}
		if err := stop(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestLoop_HandlerIgnoringContextBlocksNewRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("ignores-context", "j/s/0")}}
		calls, stop := startTestWorker(t, agent, nil)
		time.Sleep(time.Second)
		agent.set(func() { agent.down = true })
		time.Sleep(testLease)
		agent.set(func() { agent.down = false; agent.orders = []api.StartOrder{orderFor("sleep", "j/s/1")} })
		time.Sleep(time.Second)
		agent.set(func() {
			if calls.count(ref("j/s/1", 1)) != 0 || len(agent.acknowledged) != 1 {
				t.Error("the new run was started or not reported as rejected while a handler runs after the lease expired")
			}
		})
		if err := stop(); !errors.Is(err, ErrHandlersRunning) {
			t.Errorf("Run: got error %v, want ErrHandlersRunning", err)
		}
		time.Sleep(time.Minute)
	})
}
