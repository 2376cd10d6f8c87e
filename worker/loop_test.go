package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
)

// fakeAgent is an in-memory agent and leader: it gives each order once and
// acknowledges what ended in the answer after the report.
type fakeAgent struct {
	mutex        sync.Mutex
	orders       []api.StartOrder
	stops        []api.RunRef
	down         bool
	late         time.Duration
	heartbeats   []api.Heartbeat
	sentAt       []time.Time
	inFlight     int
	overlapped   bool
	acknowledged []api.EndedRun
}

func (f *fakeAgent) RoundTrip(request *http.Request) (*http.Response, error) {
	var heartbeat api.Heartbeat
	if err := json.NewDecoder(request.Body).Decode(&heartbeat); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.inFlight++
	f.overlapped = f.overlapped || f.inFlight > 1
	f.heartbeats = append(f.heartbeats, heartbeat)
	f.sentAt = append(f.sentAt, time.Now())
	down, late := f.down, f.late
	f.mutex.Unlock()
	defer f.set(func() { f.inFlight-- })
	select {
	case <-time.After(late):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if down {
		return respond(http.StatusServiceUnavailable, api.Error{Code: api.CodeUnavailable, Message: "down"})
	}
	return respond(http.StatusOK, f.answer(heartbeat))
}

func (f *fakeAgent) answer(heartbeat api.Heartbeat) api.HeartbeatAnswer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	answer := answerTo(heartbeat, 1, f.orders...)
	answer.Stop = f.stops
	f.orders = nil
	for _, ended := range heartbeat.Ended {
		f.acknowledged = append(f.acknowledged, ended)
		answer.Acknowledged = append(answer.Acknowledged, ended.RunRef)
	}
	return answer
}

func respond(status int, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(bytes.NewReader(data))}, nil
}

func (f *fakeAgent) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// starts counts the handler's calls for each run.
type starts struct {
	mutex sync.Mutex
	begun map[api.RunRef]int
	ended []Event
}

func (s *starts) begin(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.begun[event.RunRef]++
}

func (s *starts) end(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = append(s.ended, event)
}

func (s *starts) count(run api.RunRef) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.begun[run]
}

func (s *starts) wantStopped(t *testing.T, run api.RunRef) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.ended) != 1 || s.ended[0].RunRef != run || s.ended[0].Outcome != api.OutcomeStopped {
		t.Errorf("ended %v, want %v alone, stopped", s.ended, run)
	}
}

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

// startWorker runs a worker; stop ends its context and returns Run's error.
func startWorker(t *testing.T, agent *fakeAgent, clock Clock) (seen *starts, stop func() error) {
	t.Helper()
	seen = &starts{begun: make(map[api.RunRef]int)}
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

func TestLoopRunsReportsAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := orderFor("sleep", "j/s/2")
		limited.Spec.MaxDuration = api.Duration(time.Second)
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0"), orderFor("panic", "j/s/1"), limited}}
		seen, stop := startWorker(t, agent, nil)
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

func TestLoopReportsEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("panic", "j/s/0")}}
		_, stop := startWorker(t, agent, nil)
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

func TestLoopStopsWhenHoldLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		seen, stop := startWorker(t, agent, nil)
		time.Sleep(time.Second)
		agent.set(func() { agent.down = true })
		time.Sleep(testHold)
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

func TestLoopNeverUsesAnswerThatTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{late: 2 * requestTimeout, orders: []api.StartOrder{orderFor("sleep", "j/s/0")}}
		seen, stop := startWorker(t, agent, nil)
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

func TestLoopFrozenThenWoken(t *testing.T) {
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
		seen, stop := startWorker(t, agent, clock)
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

func TestLoopHandlerThatIgnoresItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{orders: []api.StartOrder{orderFor("deaf", "j/s/0")}}
		seen, stop := startWorker(t, agent, nil)
		time.Sleep(time.Second)
		agent.set(func() { agent.down = true })
		time.Sleep(testHold)
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

func TestJournalWritesOneLineForEachEvent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	journal, err := OpenJournal(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	event := Event{RunRef: ref("j/s/0", 1), WorkerID: "id", Worker: "w", Token: 7}
	journal.Start(event)
	event.Outcome = api.OutcomeSucceeded
	journal.End(event)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := make([]JournalLine, strings.Count(string(content), "\n"))
	for i, text := range slices.Collect(strings.Lines(string(content))) {
		if err := json.Unmarshal([]byte(text), &lines[i]); err != nil {
			t.Fatal(err)
		}
	}
	if len(lines) != 2 || lines[0].Event != JournalStart || lines[1].Event != JournalEnd ||
		lines[0].MonoNanos <= 0 || lines[1].MonoNanos < lines[0].MonoNanos || lines[1].Outcome != api.OutcomeSucceeded || lines[0].Task != "j/s/0" {
		t.Fatalf("lines %+v", lines)
	}
}
