package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

const testGap = replacedAfterIntervals*200*time.Millisecond + time.Millisecond

// workerAt is a worker that names its place.
func (h *harness) workerAt(name, address string) *fakeWorker {
	worker := h.worker(name, name+"-1")
	worker.heartbeat.Place = address
	return worker
}

// TestIncarnations_ReplacedWorkersRunsDoNotWaitForLease: a later process in the same place
// shows that the earlier one has ended.
func TestIncarnations_ReplacedWorkersRunsDoNotWaitForLease(t *testing.T) {
	h := newHarness(t)
	ended, next := h.workerAt("a", "10.0.0.1:80"), h.workerAt("b", "10.0.0.1:80")
	ended.exchange()
	h.submit("j", tasks(1))
	ended.exchange()
	h.advance(time.Millisecond)
	next.exchange()
	next.exchange()
	h.advance(testGap)
	if answer := next.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 of the task of the ended process, got %+v", answer.Start)
	}
}

// TestIncarnations_ReplacedWorkerOfEarlierTerm: a new leader, which never saw the ended
// process, knows its place from the record.
func TestIncarnations_ReplacedWorkerOfEarlierTerm(t *testing.T) {
	h := newHarness(t)
	ended, next := h.workerAt("a", "10.0.0.1:80"), h.workerAt("b", "10.0.0.1:80")
	ended.exchange()
	h.submit("j", tasks(1))
	ended.exchange()
	h.newTerm()
	h.advance(time.Millisecond)
	next.exchange()
	next.exchange()
	h.advance(testGap)
	if answer := next.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 of the task of the ended process, got %+v", answer.Start)
	}
}

// TestIncarnations_LeaseStandsUnlessWorkerSurelyEnded has what looks like a replacement and
// proves none.
func TestIncarnations_LeaseStandsUnlessWorkerSurelyEnded(t *testing.T) {
	cases := []struct {
		name  string
		place string
		agent string
		// happens comes after the first worker was given its run.
		happens func(h *harness, first, second *fakeWorker)
	}{
		{name: "no place", happens: func(_ *harness, _, second *fakeWorker) { second.exchange() }},
		{name: "the same place on another machine", place: "p", agent: "b", happens: func(_ *harness, _, second *fakeWorker) { second.exchange() }},
		{name: "heard without having accepted an answer", place: "p", happens: func(_ *harness, _, second *fakeWorker) {
			second.heartbeat.AcceptedSeq = 0
			_, _ = second.send() // its answer is lost
		}},
		{name: "the first is heard still", place: "p", happens: func(h *harness, first, second *fakeWorker) {
			for range 8 {
				second.exchange()
				h.advance(testGap / 4)
				first.exchange()
			}
			second.exchange()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			first, second := h.workerAt("a", c.place), h.workerAt("b", c.place)
			if c.agent != "" {
				second.agent = c.agent
			}
			first.exchange()
			h.submit("j", tasks(1))
			first.exchange()
			h.advance(time.Millisecond)
			_, _ = second.send()
			c.happens(h, first, second)
			h.advance(testLease - 8*testGap)
			if task := h.task("j", 0); task.Worker != "a" || task.Run != 1 {
				t.Errorf("the run was given up: %+v", task)
			}
		})
	}
}

// TestIncarnations_HeartbeatOfEndedWorkerReplacesNobody: what an ended process sent before comes
// late. It shows that it lived when it was answered, which was before the process
// in its place was known.
func TestIncarnations_HeartbeatOfEndedWorkerReplacesNobody(t *testing.T) {
	h := newHarness(t)
	ended, living := h.workerAt("a", "p"), h.workerAt("b", "p")
	ended.heartbeat.Capacity.CPUMillis = 1 // it has no capacity for the job
	ended.exchange()
	ended.exchange()
	h.advance(time.Millisecond)
	living.exchange()
	h.submit("j", tasks(1))
	living.exchange()
	for range 3 {
		_, _ = ended.send()
		h.advance(testGap / 2)
	}
	if task := h.task("j", 0); task.Worker != "b" || task.Run != 1 || task.State != api.StateRunning {
		t.Fatalf("the living worker's run was given up: %+v", task)
	}
}

// TestIncarnations_NewIncarnationMayDiffer: what it says of itself holds, and nothing
// of the life before.
func TestIncarnations_NewIncarnationMayDiffer(t *testing.T) {
	for _, c := range []struct{ what, name, incarnation string }{
		{"under the same name", "w", "w-2"},
		{"under another name", "x", "x-1"},
	} {
		t.Run(c.what, func(t *testing.T) {
			h := newHarness(t)
			before := h.worker("w", "w-1")
			before.heartbeat.Place, before.heartbeat.Labels = "10.0.0.1:80", map[string]string{"rack": "r1", "old": "yes"}
			before.exchange()
			h.submit("first", tasks(4))
			before.exchange()
			h.advance(time.Millisecond)
			after := h.worker(c.name, c.incarnation)
			after.zone = "z2"
			after.heartbeat.Place, after.heartbeat.Labels = "10.0.0.1:80", map[string]string{"rack": "r2"}
			after.heartbeat.Services = []string{"other"}
			after.heartbeat.Capacity = api.Resources{CPUMillis: 2000, MemoryMB: 8000, Accelerators: 1}
			for range 20 {
				h.advance(200 * time.Millisecond)
				after.exchange()
			}
			wanted := tasks(4)
			for i := range wanted.Tasks {
				wanted.Tasks[i].Service, wanted.Tasks[i].Labels = "other", map[string]string{"rack": "r2"}
			}
			h.submit("second", wanted)
			for what, labels := range map[string]map[string]string{"rack": {"rack": "r1"}, "label": {"old": "yes"}} {
				old := tasks(1)
				old.Tasks[0].Service, old.Tasks[0].Labels = "other", labels
				request := protocol.SubmitRequest{ID: "third", Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{old}}}
				if answer, err := h.leader.submit(t.Context(), request); err == nil {
					t.Errorf("its %s of before holds still: %+v", what, answer)
				}
			}
			after.exchange()
			if len(after.heartbeat.Running) != 2 {
				t.Fatalf("want two runs by its capacity, got %+v", after.heartbeat.Running)
			}
			for _, run := range after.heartbeat.Running {
				if run.Task[:len("second")] != "second" {
					t.Errorf("%s runs there", run.Task)
				}
			}
			row := h.stateOf(c.name)
			if row.WorkerID != c.incarnation || row.Zone != "z2" || row.Capacity != after.heartbeat.Capacity ||
				row.Labels["rack"] != "r2" || row.Labels["old"] != "" || !slices.Equal(row.Services, []string{"other"}) {
				t.Errorf("known as %+v", row)
			}
		})
	}
}
