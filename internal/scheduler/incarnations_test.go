package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// replacementGap is the shortest time without a heartbeat after which a worker may count as
// replaced.
const replacementGap = replacedAfterIntervals*200*time.Millisecond + time.Millisecond

// workerAt returns a worker that reports a place in its heartbeats.
func (h *harness) workerAt(name, place string) *fakeWorker {
	worker := h.newWorker(name, name+"-1")
	worker.heartbeat.Place = place
	return worker
}

// TestIncarnations_ReplacedWorkerLosesRunsBeforeLeaseExpires guards against tasks that wait
// for the lease of a process that has certainly ended: a later process that is alive at
// the same address proves it.
func TestIncarnations_ReplacedWorkerLosesRunsBeforeLeaseExpires(t *testing.T) {
	h := newHarness(t)
	ended, next := h.workerAt("a", "10.0.0.1:80"), h.workerAt("b", "10.0.0.1:80")
	ended.exchange()
	h.submit("j", tasks(1))
	ended.exchange()
	h.advance(time.Millisecond)
	next.exchange()
	next.exchange()
	h.advance(replacementGap)
	if answer := next.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("got %+v, want run 2 of the task of the ended process", answer.Start)
	}
}

// TestIncarnations_WorkerOfEarlierTermIsReplaced covers a process that ended before the term
// began: the new leader knows its address from the record.
func TestIncarnations_WorkerOfEarlierTermIsReplaced(t *testing.T) {
	h := newHarness(t)
	ended, next := h.workerAt("a", "10.0.0.1:80"), h.workerAt("b", "10.0.0.1:80")
	ended.exchange()
	h.submit("j", tasks(1))
	ended.exchange()
	h.newTerm()
	h.advance(time.Millisecond)
	next.exchange()
	next.exchange()
	h.advance(replacementGap)
	if answer := next.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("got %+v, want run 2 of the task of the ended process", answer.Start)
	}
}

// TestIncarnations_LeaseIsKeptWithoutProofOfReplacement guards against closing the runs of a
// live worker. Another worker looks like its replacement, but nothing proves it.
func TestIncarnations_LeaseIsKeptWithoutProofOfReplacement(t *testing.T) {
	cases := []struct {
		name  string
		place string
		agent string
		// afterStart is called after the first worker got its run.
		afterStart func(h *harness, first, second *fakeWorker)
	}{
		{name: "no place", afterStart: func(_ *harness, _, second *fakeWorker) { second.exchange() }},
		{name: "the same place on another machine", place: "p", agent: "b", afterStart: func(_ *harness, _, second *fakeWorker) { second.exchange() }},
		{name: "a heartbeat without an accepted answer", place: "p", afterStart: func(_ *harness, _, second *fakeWorker) {
			second.heartbeat.AcceptedSeq = 0
			_, _ = second.send() // its answer is lost
		}},
		{name: "heartbeats of the first worker continue", place: "p", afterStart: func(h *harness, first, second *fakeWorker) {
			for range 8 {
				second.exchange()
				h.advance(replacementGap / 4)
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
			c.afterStart(h, first, second)
			h.advance(testLease - 8*replacementGap)
			if task := h.task("j", 0); task.Worker != "a" || task.Run != 1 {
				t.Errorf("got task %+v, want run 1 still on a", task)
			}
		})
	}
}

// TestIncarnations_DelayedHeartbeatOfEndedWorkerReplacesNone guards against closing the runs of
// a live worker when delayed heartbeats of its predecessor arrive. They prove only that
// the predecessor was alive when it was answered, before its successor was known.
func TestIncarnations_DelayedHeartbeatOfEndedWorkerReplacesNone(t *testing.T) {
	h := newHarness(t)
	ended, living := h.workerAt("a", "p"), h.workerAt("b", "p")
	ended.heartbeat.Capacity.CPUMillis = 1 // too little capacity for the job
	ended.exchange()
	ended.exchange()
	h.advance(time.Millisecond)
	living.exchange()
	h.submit("j", tasks(1))
	living.exchange()
	for range 3 {
		_, _ = ended.send()
		h.advance(replacementGap / 2)
	}
	if task := h.task("j", 0); task.Worker != "b" || task.Run != 1 || task.State != api.StateRunning {
		t.Fatalf("got task %+v, want run 1 running on b", task)
	}
}

// TestIncarnations_NewIncarnationReplacesDescription guards against placing by an outdated
// description: zone, labels, services and capacity are those of the new incarnation alone.
func TestIncarnations_NewIncarnationReplacesDescription(t *testing.T) {
	for _, c := range []struct{ what, name, incarnation string }{
		{"under the same name", "w", "w-2"},
		{"under another name", "x", "x-1"},
	} {
		t.Run(c.what, func(t *testing.T) {
			h := newHarness(t)
			before := h.newWorker("w", "w-1")
			before.heartbeat.Place, before.heartbeat.Labels = "10.0.0.1:80", map[string]string{"rack": "r1", "old": "yes"}
			before.exchange()
			h.submit("first", tasks(4))
			before.exchange()
			h.advance(time.Millisecond)
			after := h.newWorker(c.name, c.incarnation)
			after.zone = "z2"
			after.heartbeat.Place, after.heartbeat.Labels = "10.0.0.1:80", map[string]string{"rack": "r2"}
			after.heartbeat.Services = []string{"other"}
			after.heartbeat.Capacity = api.Resources{CPUMillis: 2000, MemoryMB: 8000, Accelerators: 1}
			for range 20 {
				h.advance(200 * time.Millisecond)
				after.exchange()
			}
			matching := tasks(4)
			for i := range matching.Tasks {
				matching.Tasks[i].Service, matching.Tasks[i].Labels = "other", map[string]string{"rack": "r2"}
			}
			h.submit("second", matching)
			for what, labels := range map[string]map[string]string{"rack": {"rack": "r1"}, "label": {"old": "yes"}} {
				outdated := tasks(1)
				outdated.Tasks[0].Service, outdated.Tasks[0].Labels = "other", labels
				request := protocol.SubmitRequest{ID: "third", Spec: api.JobSpec{Queue: "q", Steps: []api.StepSpec{outdated}}}
				if answer, err := h.leader.submit(t.Context(), request); err == nil {
					t.Errorf("job that needs the earlier %s: got %+v, want a refusal", what, answer)
				}
			}
			after.exchange()
			if len(after.heartbeat.Running) != 2 {
				t.Fatalf("got %+v, want two runs, as the new capacity allows", after.heartbeat.Running)
			}
			for _, run := range after.heartbeat.Running {
				if run.Task[:len("second")] != "second" {
					t.Errorf("got task %s running, want tasks of job second only", run.Task)
				}
			}
			row := h.workerRow(c.name)
			if row.WorkerID != c.incarnation || row.Zone != "z2" || row.Capacity != after.heartbeat.Capacity ||
				row.Labels["rack"] != "r2" || row.Labels["old"] != "" || !slices.Equal(row.Services, []string{"other"}) {
				t.Errorf("got worker status %+v, want that of the new incarnation", row)
			}
		})
	}
}
