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
		{"without an end of its own, at once", departingRun{untilCancelled: true}, time.Hour, true},
		{"unknown length, time left", departingRun{}, lead + 1, false},
		{"unknown length, just the time to stop it", departingRun{}, lead, true},
		{"unknown length, overdue", departingRun{}, -time.Second, true},
		{"ends within half of the time", departingRun{estimate: 4 * time.Second, elapsed: 2 * time.Second}, 4 * time.Second, false},
		{"ends within half of the last moment", departingRun{estimate: 2 * time.Second, elapsed: 1700 * time.Millisecond}, 600 * time.Millisecond, false},
		{"may end, time left", departingRun{estimate: 4 * time.Second, elapsed: 2 * time.Second}, 3 * time.Second, false},
		{"may end, no time left", departingRun{estimate: 2 * time.Second, elapsed: 1500 * time.Millisecond}, lead, true},
		{"may end although longer than the time", departingRun{estimate: 10 * time.Second}, 5 * time.Second, false},
		{"surely does not end, nothing to save", departingRun{estimate: 11 * time.Second}, 5 * time.Second, true},
		{"surely does not end, saves its work", departingRun{estimate: 11 * time.Second, resumable: true}, 5 * time.Second, false},
		{"saves its work, just the time for it", departingRun{estimate: 11 * time.Second, resumable: true}, lead, true},
		{"beyond its estimate, time left", departingRun{estimate: time.Second, elapsed: 9 * time.Second}, 5 * time.Second, false},
		{"beyond its estimate, no time left", departingRun{estimate: time.Second, elapsed: 9 * time.Second}, lead, true},
	}
	for _, c := range cases {
		if got := mustStopNow(c.run, c.left, lead); got != c.stop {
			t.Errorf("%s: stop %v, want %v", c.name, got, c.stop)
		}
	}
}

func TestDeparture_IsLearnedFromHeartbeatsAndNotices(t *testing.T) {
	var d departure
	d.observeHeartbeat(api.Heartbeat{Draining: true}, time.Second)
	if d.announced() {
		t.Error("announced without a time")
	}
	d.observeHeartbeat(api.Heartbeat{Draining: true, RemainingMillis: 5000}, 2*time.Second)
	d.observeHeartbeat(api.Heartbeat{Draining: true}, 3*time.Second)
	if !d.announced() || d.endsAt != 7*time.Second {
		t.Errorf("ends at %v, want 7s: a heartbeat without a time says nothing", d.endsAt)
	}
	d.observeHeartbeat(api.Heartbeat{Draining: true, RemainingMillis: 9000}, 4*time.Second)
	if d.endsAt != 13*time.Second {
		t.Errorf("ends at %v, want the newest, 13s", d.endsAt)
	}
	d.observeHeartbeat(api.Heartbeat{}, 5*time.Second)
	if d.announced() {
		t.Error("announced although the worker goes on")
	}
	d.noticeGiven = true
	d.observeRemaining(1000, 6*time.Second)
	d.observeHeartbeat(api.Heartbeat{}, 7*time.Second) // was under way at the notice
	if !d.announced() || d.endsAt != 7*time.Second {
		t.Errorf("a notice was forgotten: %+v", d)
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
	worker, other := h.worker("a", "a-1"), h.worker("b", "b-1")
	worker.exchange()
	endless := tasks(1)
	endless.Tasks[0].UntilCancelled = true
	h.submit("endless", endless)
	h.submit("finite", tasks(1))
	worker.exchange()
	h.submit("unordered", tasks(1))
	before := h.log.index
	h.leave("a-1", 0)
	if h.log.index != before {
		t.Error("a notice was committed before it was answered")
	}
	h.settle()
	worker.heartbeat.Draining = false // sent before the notice
	answer := worker.exchange()
	if len(answer.Start) != 0 || len(answer.Stop) != 1 || answer.Stop[0].Task != "endless/s/0" {
		t.Fatalf("want the endless run stopped and nothing started, got %+v", answer)
	}
	if status := h.workerStatus("a"); status.State != api.WorkerDraining {
		t.Errorf("worker is %s: %s", status.State, status.Reason)
	}
	other.exchange()
	if answer := other.exchange(); len(answer.Start) != 1 || answer.Start[0].Task != "unordered/s/0" {
		t.Errorf("want the revoked task elsewhere, got %+v", answer.Start)
	}
}

func TestDeparture_UnknownOrRepeatedLeaveChangesNothing(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("a", "a-1")
	worker.exchange()
	h.leave("a-0", time.Second)
	h.submit("j", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Fatalf("another incarnation's notice counted: %+v", answer)
	}
	h.leave("a-1", 0)
	h.leave("a-1", 0)
	if answer := worker.exchange(); len(answer.Stop) != 0 {
		t.Errorf("stopped a run without a known end of the worker: %+v", answer.Stop)
	}
	h.log.lease = false
	if _, err := h.leader.leave(t.Context(), protocol.LeaveRequest{WorkerID: "a-1"}); err == nil {
		t.Error("acknowledged without a lease")
	}
}

// TestDeparture_WorkMovesBeforeWorkerEnds runs a resumable task, one that
// ends in time and one that cannot, on a worker that has five seconds left.
func TestDeparture_WorkMovesBeforeWorkerEnds(t *testing.T) {
	h := newHarness(t)
	worker, other := h.worker("a", "a-1"), h.worker("b", "b-1")
	worker.exchange()
	resumable, quick, hopeless := tasks(1), tasks(1), tasks(1)
	resumable.Tasks[0].Resumable = true
	quick.Tasks[0].Estimate = api.Duration(time.Second)
	hopeless.Tasks[0].Estimate = api.Duration(time.Hour)
	h.submit("resumable", resumable)
	h.submit("quick", quick)
	h.submit("hopeless", hopeless)
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
	if after, stopped := stoppedAfter["hopeless/s/0"]; !stopped || after != 0 {
		t.Errorf("work that cannot end in time: stopped %v after %v, want at once", stopped, after)
	}
	lead := maxStopTime + heartbeatsPerStop*interval
	after, stopped := stoppedAfter["resumable/s/0"]
	if !stopped || after > remaining-lead || after < remaining-lead-departureMargin-interval {
		t.Errorf("resumable work: stopped %v after %v, want just before %v", stopped, after, remaining-lead)
	}
	if after, stopped := stoppedAfter["quick/s/0"]; stopped && after < remaining-lead-departureMargin-interval {
		t.Errorf("work that ends in time was stopped after %v", after)
	}
	worker.end(api.OutcomeStopped)
	worker.exchange()
	other.exchange()
	for _, job := range []string{"resumable", "hopeless"} {
		task := h.task(job, 0)
		if task.Failures != 0 || task.Worker != "b" {
			t.Errorf("%s: %d failures, on %s", job, task.Failures, task.Worker)
		}
	}
}

func TestDeparture_NewLeaderLearnsFromHeartbeats(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("a", "a-1")
	worker.exchange()
	quick := tasks(1)
	quick.Tasks[0].Estimate = api.Duration(4 * time.Second)
	h.submit("j", quick)
	worker.exchange()
	h.leave("a-1", time.Minute)
	h.heartbeatFor(3*time.Second, worker)
	h.newTerm()
	// The agent adds what it remembers of the notice.
	worker.heartbeat.Draining, worker.heartbeat.RemainingMillis = true, 2500
	if answer := worker.exchange(); len(answer.Stop) != 0 {
		t.Errorf("stopped work that ends in time: its start before this term counts, %+v", answer.Stop)
	}
	h.submit("k", tasks(1))
	if answer := worker.exchange(); len(answer.Start) != 0 {
		t.Errorf("started on a departing worker: %+v", answer.Start)
	}
}

func TestDeparture_MissedHeartbeatsExpireLease(t *testing.T) {
	h := newHarness(t)
	other := h.worker("b", "b-1")
	h.running("a", 1)
	h.leave("a-1", 0)
	h.heartbeatFor(h.leader.registry.leaseDuration()+h.leader.registry.driftMargin()+time.Second, other)
	task := h.task("j", 0)
	if task.Worker != "b" || task.Run != 2 || task.Failures != 0 {
		t.Errorf("want the second run elsewhere without a failure, got %+v", task)
	}
}
