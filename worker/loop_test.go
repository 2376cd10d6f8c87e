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

// startTestWorker runs a worker; stop ends its context and returns Run's error.
func startTestWorker(t *testing.T, agent *fakeAgent, clock Clock) (seen *handlerCalls, stop func() error) {
	t.Helper()
	seen = &handlerCalls{begun: make(map[api.RunRef]int)}
	w, err := New(Config{
		Name: "w", AgentURL: "http://agent", HTTPClient: &http.Client{Transport: agent}, Clock: clock,
		OnStart: seen.begin, OnEnd: seen.end,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.Handle("sleep", sleepHandler)
	w.Handle("panic", func(context.Context, Task) error { panic("at once") })
	w.Handle("deaf", func(context.Context, Task) error { time.Sleep(time.Minute); return errors.New("late") })
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- w.Run(ctx) }()
	return seen, func() error { cancel(); return <-result }
}

func orderFor(service string, task string) api.StartOrder {
	return api.StartOrder{RunRef: ref(task, 1), Spec: api.TaskSpec{Service: service}}
}

func TestLoop_RunsReportsAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := orderFor("sleep", "j/s/2")
		limited.Spec.MaxDuration = api.Duration(time.Second)
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0"), orderFor("panic", "j/s/1"), limited}}
		seen, stop := startTestWorker(t, agent, nil)
		time.Sleep(15 * time.Second)
		agent.set(func() { agent.orders = append(agent.orders, orderFor("sleep", "j/s/3")) })
		time.Sleep(time.Second)
		began := time.Now()
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took < DefaultDrainTimeout || took > 2*time.Second {
			t.Errorf("drained in %v", took)
		}
		want := []string{"j/s/1 failed", "j/s/2 failed", "j/s/0 succeeded", "j/s/3 stopped"}
		var got []string
		for _, ended := range agent.acknowledged {
			got = append(got, fmt.Sprintf("%s %s", ended.Task, ended.Outcome))
		}
		if !slices.Equal(got, want) {
			t.Errorf("reports %v, want %v", got, want)
		}
		if len(seen.begun) != 4 || slices.Max(slices.Collect(maps.Values(seen.begun))) != 1 || len(seen.ended) != 4 {
			t.Errorf("begun %v, ended %v", seen.begun, seen.ended)
		}
		if last := agent.heartbeats[len(agent.heartbeats)-1]; !last.Draining {
			t.Error("the last heartbeat does not say draining")
		}
		checkHeartbeats(t, agent)
	})
}

// checkHeartbeats: one at a time, seq by one, never closer than the spacing.
func checkHeartbeats(t *testing.T, agent *fakeAgent) {
	t.Helper()
	if agent.overlapped {
		t.Error("two heartbeats were outstanding")
	}
	for i, heartbeat := range agent.heartbeats {
		if heartbeat.Seq != uint64(i+1) {
			t.Fatalf("heartbeat %d has seq %d", i, heartbeat.Seq)
		}
		if i > 0 && agent.sentAt[i].Sub(agent.sentAt[i-1]) < heartbeatSpacing {
			t.Fatalf("heartbeats %d and %d are too close", i, i+1)
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
				t.Errorf("%d heartbeats, %d reports; the end must not wait for the interval", len(agent.heartbeats), len(agent.acknowledged))
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
		seen, stop := startTestWorker(t, agent, nil)
		time.Sleep(time.Second)
		agent.set(func() { agent.down = true })
		time.Sleep(testLease)
		seen.wantStopped(t, ref("j/s/0", 1))
		var before int
		agent.set(func() { agent.down = false; before = len(agent.heartbeats) })
		time.Sleep(time.Second)
		agent.set(func() {
			if len(agent.heartbeats) <= before || len(agent.acknowledged) != 1 {
				t.Error("heartbeats or the report did not go on")
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
		agent := &fakeAgent{late: 2 * requestTimeout, orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		seen, stop := startTestWorker(t, agent, nil)
		time.Sleep(10 * time.Second)
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		if len(seen.begun) != 0 {
			t.Errorf("begun %v", seen.begun)
		}
		checkHeartbeats(t, agent)
	})
}

func TestLoop_FrozenProcessStopsRunsOnWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		var frozen time.Duration
		began := time.Now()
		clock := func() time.Duration {
			mutex.Lock()
			defer mutex.Unlock()
			return time.Since(began) + frozen
		}
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		seen, stop := startTestWorker(t, agent, clock)
		time.Sleep(1050 * time.Millisecond)
		// The answer under way when the process freezes carries an order.
		agent.set(func() { agent.late = 300 * time.Millisecond })
		time.Sleep(250 * time.Millisecond)
		agent.set(func() { agent.orders = []api.StartOrder{orderFor("sleep", "j/s/1")}; agent.late = 0 })
		mutex.Lock()
		frozen = 25 * time.Second
		mutex.Unlock()
		time.Sleep(300 * time.Millisecond)
		seen.wantStopped(t, ref("j/s/0", 1))
		agent.set(func() {
			if len(agent.orders) != 0 {
				t.Error("the order was not in an answer")
			}
		})
		if seen.count(ref("j/s/1", 1)) != 0 {
			t.Error("an order from before the freeze was followed")
		}
		if err := stop(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestLoop_HandlerIgnoringContextBlocksNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("deaf", "j/s/0")}}
		seen, stop := startTestWorker(t, agent, nil)
		time.Sleep(time.Second)
		agent.set(func() { agent.down = true })
		time.Sleep(testLease)
		agent.set(func() { agent.down = false; agent.orders = []api.StartOrder{orderFor("sleep", "j/s/1")} })
		time.Sleep(time.Second)
		agent.set(func() {
			if seen.count(ref("j/s/1", 1)) != 0 || len(agent.acknowledged) != 1 {
				t.Error("new work was taken while a handler outlives its hold")
			}
		})
		if err := stop(); !errors.Is(err, ErrHandlersRunning) {
			t.Errorf("Run returned %v", err)
		}
		time.Sleep(time.Minute)
	})
}
