package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestDeparture_RunsStopInTime(t *testing.T) {
	const lead = 700 * time.Millisecond
	cases := []struct {
		name string
		run  departingRun
		left time.Duration
		stop bool
	}{
		{"until cancelled, time left", departingRun{untilCancelled: true}, time.Hour, true},
		{"no estimate, time left", departingRun{}, lead + 1, false},
		{"no estimate, only the lead time left", departingRun{}, lead, true},
		{"no estimate, no time left", departingRun{}, -time.Second, true},
		{"certainly ends in time", departingRun{estimate: 4 * time.Second, elapsed: 2 * time.Second}, 4 * time.Second, false},
		{"certainly ends in time, less than the lead time left", departingRun{estimate: 2 * time.Second, elapsed: 1700 * time.Millisecond}, 600 * time.Millisecond, false},
		{"may end in time, time left", departingRun{estimate: 4 * time.Second, elapsed: 2 * time.Second}, 3 * time.Second, false},
		{"may end in time, only the lead time left", departingRun{estimate: 2 * time.Second, elapsed: 1500 * time.Millisecond}, lead, true},
		{"may end in time although its estimate is longer", departingRun{estimate: 10 * time.Second}, 5 * time.Second, false},
		{"cannot end in time, not resumable", departingRun{estimate: 11 * time.Second}, 5 * time.Second, true},
		{"cannot end in time, resumable", departingRun{estimate: 11 * time.Second, resumable: true}, 5 * time.Second, false},
		{"resumable, only the lead time left", departingRun{estimate: 11 * time.Second, resumable: true}, lead, true},
		{"beyond its estimate, time left", departingRun{estimate: time.Second, elapsed: 9 * time.Second}, 5 * time.Second, false},
		{"beyond its estimate, only the lead time left", departingRun{estimate: time.Second, elapsed: 9 * time.Second}, lead, true},
	}
	for _, c := range cases {
		if got := mustStopNow(c.run, c.left, lead); got != c.stop {
			t.Errorf("%s: got stop %v, want %v", c.name, got, c.stop)
		}
	}
}

func TestDeparture_EndIsTakenFromHeartbeatsAndNotices(t *testing.T) {
	var d departure
	d.observeHeartbeat(api.Heartbeat{Draining: true}, time.Second)
	if d.isAnnounced() {
		t.Error("got announced after a heartbeat without a remaining time, want not announced")
	}
	d.observeHeartbeat(api.Heartbeat{Draining: true, RemainingMillis: 5000}, 2*time.Second)
	d.observeHeartbeat(api.Heartbeat{Draining: true}, 3*time.Second)
	if !d.isAnnounced() || d.endsAt != 7*time.Second {
		t.Errorf("got end at %v, want 7s: a heartbeat without a remaining time changes nothing", d.endsAt)
	}
	d.observeHeartbeat(api.Heartbeat{Draining: true, RemainingMillis: 9000}, 4*time.Second)
	if d.endsAt != 13*time.Second {
		t.Errorf("got end at %v, want the newest one, 13s", d.endsAt)
	}
	d.observeHeartbeat(api.Heartbeat{}, 5*time.Second)
	if d.isAnnounced() {
		t.Error("got announced, want not announced: the worker no longer drains")
	}
	d.noticeGiven = true
	d.observeRemaining(1000, 6*time.Second)
	d.observeHeartbeat(api.Heartbeat{}, 7*time.Second) // sent before the notice
	if !d.isAnnounced() || d.endsAt != 7*time.Second {
		t.Errorf("got %+v, want the notice and the end at 7s kept", d)
	}
}

func (h *harness) leave(workerID string, remaining time.Duration) {
	h.t.Helper()
	request := protocol.LeaveRequest{WorkerID: workerID, RemainingMillis: remaining.Milliseconds()}
	if _, err := h.leader.leave(h.t.Context(), request); err != nil {
		h.t.Fatalf("leave: %v", err)
	}
}

func TestDeparture_LeaveStopsPlacementsAtOnce(t *testing.T) {
	h := newHarness(t)
	worker, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	worker.exchange()
	untilCancelled := tasks(1)
	untilCancelled.Tasks[0].UntilCancelled = true
	h.submit("endless", untilCancelled)
	h.submit("finite", tasks(1))
	worker.exchange()
	h.submit("unassigned", tasks(1))
	before := h.log.index
	h.leave("a-1", 0)
	if h.log.index != before {
		t.Error("got a log entry before the notice was answered, want none")
	}
	h.settle()
	worker.heartbeat.Draining = false // sent before the notice
	answer := worker.exchange()
	if len(answer.Start) != 0 || len(answer.Stop) != 1 || answer.Stop[0].Task != "endless/s/0" {
		t.Fatalf("got %+v, want the run of job endless stopped and nothing started", answer)
	}
	if status := h.workerStatus("a"); status.State != api.WorkerDraining {
		t.Errorf("got worker state %s (%s), want draining", status.State, status.Reason)
	}
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "unassigned/s/0" {
		t.Errorf("got %+v, want the revoked task on the other worker", answer.Start)
	}
}

func TestDeparture_UnknownOrRepeatedLeaveChangesNothing(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	worker.exchange()
	h.leave("a-0", time.Second)
	h.submit("j", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Fatalf("got %+v, want a start after the notice of an unknown incarnation", answer)
	}
	h.leave("a-1", 0)
	h.leave("a-1", 0)
	if answer := worker.exchange(); len(answer.Stop) != 0 {
		t.Errorf("got %+v, want no stop while the end of the worker is not known", answer.Stop)
	}
	h.log.holdsLease = false
	if _, err := h.leader.leave(t.Context(), protocol.LeaveRequest{WorkerID: "a-1"}); err == nil {
		t.Error("got no error from leave without the leader lease, want one")
	}
}

// TestDeparture_WorkMovesBeforeWorkerEnds runs a resumable task, one that ends in time
// and one that cannot end in time on a worker that has 5 s left. It guards against
// stopping work too early, and against losing it because it is stopped too late.
func TestDeparture_WorkMovesBeforeWorkerEnds(t *testing.T) {
	h := newHarness(t)
	worker, other := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	worker.exchange()
	resumable, quick, tooLong := tasks(1), tasks(1), tasks(1)
	resumable.Tasks[0].Resumable = true
	quick.Tasks[0].Estimate = api.Duration(time.Second)
	tooLong.Tasks[0].Estimate = api.Duration(time.Hour)
	h.submit("resumable", resumable)
	h.submit("quick", quick)
	h.submit("too-long", tooLong)
	worker.exchange()
	other.exchange()
	const remaining = 5 * time.Second
	const interval = 200 * time.Millisecond
	worker.heartbeat.Draining = true
	stoppedAfter := map[string]time.Duration{}
	for elapsed := time.Duration(0); elapsed < remaining; elapsed += interval {
		worker.heartbeat.RemainingMillis = (remaining - elapsed).Milliseconds()
		for _, stop := range worker.exchange().Stop {
			if _, stopped := stoppedAfter[stop.Task]; !stopped {
				stoppedAfter[stop.Task] = elapsed
			}
		}
		other.exchange()
		h.advance(interval)
	}
	if after, stopped := stoppedAfter["too-long/s/0"]; !stopped || after != 0 {
		t.Errorf("work that cannot end in time: got stopped %v after %v, want stopped at once", stopped, after)
	}
	leadTime := maxStopTime + heartbeatsPerStop*interval
	after, stopped := stoppedAfter["resumable/s/0"]
	if !stopped || after > remaining-leadTime || after < remaining-leadTime-departureMargin-interval {
		t.Errorf("resumable work: got stopped %v after %v, want stopped just before %v", stopped, after, remaining-leadTime)
	}
	if after, stopped := stoppedAfter["quick/s/0"]; stopped && after < remaining-leadTime-departureMargin-interval {
		t.Errorf("work that ends in time: got a stop after %v, want none before the lead time", after)
	}
	worker.endAllRuns(api.OutcomeStopped)
	worker.exchange()
	other.exchange()
	for _, job := range []string{"resumable", "too-long"} {
		task := h.task(job, 0)
		if task.Failures != 0 || task.Worker != "b" {
			t.Errorf("%s: got %d failures, on worker %s; want 0 failures, on b", job, task.Failures, task.Worker)
		}
	}
}

func TestDeparture_NewLeaderLearnsFromHeartbeats(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("a", "a-1")
	worker.exchange()
	quick := tasks(1)
	quick.Tasks[0].Estimate = api.Duration(4 * time.Second)
	h.submit("j", quick)
	worker.exchange()
	h.leave("a-1", time.Minute)
	h.heartbeatFor(3*time.Second, worker)
	h.newTerm()
	// The agent repeats the notice in the heartbeats that it relays.
	worker.heartbeat.Draining, worker.heartbeat.RemainingMillis = true, 2500
	if answer := worker.exchange(); len(answer.Stop) != 0 {
		t.Errorf("want no stop: with its time before this term, the run ends in time; got %+v", answer.Stop)
	}
	h.submit("k", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start on a departing worker", answer.Start)
	}
}

func TestDeparture_MissedHeartbeatsExpireLease(t *testing.T) {
	h := newHarness(t)
	other := h.newWorker("b", "b-1")
	h.startRunning("a", 1)
	h.leave("a-1", 0)
	h.heartbeatFor(h.leader.registry.leaseDuration()+h.leader.registry.driftMargin()+time.Second, other)
	task := h.task("j", 0)
	if task.Worker != "b" || task.Run != 2 || task.Failures != 0 {
		t.Errorf("got %+v, want run 2 on b without failures", task)
	}
}
