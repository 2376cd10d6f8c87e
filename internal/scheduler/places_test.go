package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

const testSilence = beatsOfDoubt*200*time.Millisecond + time.Millisecond

// inPlace is a worker that names its place.
func (h *harness) inPlace(name, place string) *fakeWorker {
	worker := h.worker(name, name+"-1")
	worker.heartbeat.Place = place
	return worker
}

// TestRunsOfAReplacedWorkerDoNotWaitForItsHold: a later process in the same place
// shows that the earlier one has ended.
func TestRunsOfAReplacedWorkerDoNotWaitForItsHold(t *testing.T) {
	h := newHarness(t)
	ended, next := h.inPlace("a", "10.0.0.1:80"), h.inPlace("b", "10.0.0.1:80")
	ended.exchange()
	h.submit("j", tasks(1))
	ended.exchange()
	h.advance(time.Millisecond)
	next.exchange()
	next.exchange()
	h.advance(testSilence)
	if answer := next.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 of the task of the ended process, got %+v", answer.Start)
	}
}

// TestReplacedWorkerOfAnEarlierTerm: a new leader, which never heard the ended
// process, knows its place from the record.
func TestReplacedWorkerOfAnEarlierTerm(t *testing.T) {
	h := newHarness(t)
	ended, next := h.inPlace("a", "10.0.0.1:80"), h.inPlace("b", "10.0.0.1:80")
	ended.exchange()
	h.submit("j", tasks(1))
	ended.exchange()
	h.newTerm()
	h.advance(time.Millisecond)
	next.exchange()
	next.exchange()
	h.advance(testSilence)
	if answer := next.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Fatalf("want run 2 of the task of the ended process, got %+v", answer.Start)
	}
}

// TestHoldStandsUnlessTheWorkerSurelyEnded has what looks like a replacement and
// proves none.
func TestHoldStandsUnlessTheWorkerSurelyEnded(t *testing.T) {
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
				h.advance(testSilence / 4)
				first.exchange()
			}
			second.exchange()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			first, second := h.inPlace("a", c.place), h.inPlace("b", c.place)
			if c.agent != "" {
				second.agent = c.agent
			}
			first.exchange()
			h.submit("j", tasks(1))
			first.exchange()
			h.advance(time.Millisecond)
			_, _ = second.send()
			c.happens(h, first, second)
			h.advance(testHold - 8*testSilence)
			if task := h.task("j", 0); task.Worker != "a" || task.Run != 1 {
				t.Errorf("the run was given up: %+v", task)
			}
		})
	}
}

// TestWordOfAnEndedWorkerReplacesNobody: what an ended process sent before comes
// late. It shows that it lived when it was answered, which was before the process
// in its place was known.
func TestWordOfAnEndedWorkerReplacesNobody(t *testing.T) {
	h := newHarness(t)
	ended, living := h.inPlace("a", "p"), h.inPlace("b", "p")
	ended.heartbeat.Capacity.CPUMillis = 1 // it has no room for the job
	ended.exchange()
	ended.exchange()
	h.advance(time.Millisecond)
	living.exchange()
	h.submit("j", tasks(1))
	living.exchange()
	for range 3 {
		_, _ = ended.send()
		h.advance(testSilence / 2)
	}
	if task := h.task("j", 0); task.Worker != "b" || task.Run != 1 || task.State != api.StateRunning {
		t.Fatalf("the living worker's run was given up: %+v", task)
	}
}
