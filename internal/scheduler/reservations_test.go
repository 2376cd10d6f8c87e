package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// The harness begins at 22:13:20 UTC. The window of reservedConfig begins 100 s later,
// and its lead, from which on capacity is reserved, after 70 s.
const (
	untilReserved = 70 * time.Second
	untilWindow   = 100 * time.Second
)

// reservedConfig returns a configuration in which queue "booked" reserves a number of
// slots for one minute daily at 22:15 UTC.
func reservedConfig(slots int) api.Config {
	return api.Config{Queues: []api.QueueConfig{
		{Name: "q"},
		{Name: "booked", Bookings: []api.BookingConfig{{
			Name: "evening", DailyAt: "22:15", Duration: api.Duration(time.Minute), Lead: api.Duration(30 * time.Second),
			Slots: slots, Slice: api.Resources{CPUMillis: 1000, MemoryMB: 1}, Service: "s",
		}}},
	}}
}

// submitTo submits a job of one step to a queue.
func (h *harness) submitTo(queue, id string, step api.StepSpec) {
	h.t.Helper()
	request := protocol.SubmitRequest{ID: id, Spec: api.JobSpec{Queue: queue, Steps: []api.StepSpec{step}}}
	if _, err := h.leader.submit(h.t.Context(), request); err != nil {
		h.t.Fatalf("submit %s: %v", id, err)
	}
	h.settle()
}

// exchangeAndAdvance advances the clocks by a duration, with a heartbeat each second that
// extends the worker's lease.
func (h *harness) exchangeAndAdvance(worker *fakeWorker, by time.Duration) {
	h.t.Helper()
	const step = time.Second
	for ; by >= step; by -= step {
		h.advance(step)
		worker.exchange()
	}
}

func TestReservations_CapacityIsReservedAndUsed(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.putConfig(reservedConfig(3))
	h.exchangeAndAdvance(worker, untilReserved)
	h.submitTo("q", "endless", tasks(4)) // no estimate, so they may not run in reserved slots
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Fatalf("got starts %+v, want one run outside the three reserved slots", answer.Start)
	}
	bookings := h.reservations()
	if len(bookings) == 0 || bookings[0].State != api.BookingHeld || bookings[0].Placed != 3 || bookings[0].Used != 0 {
		t.Fatalf("got %+v, want state held, three slots placed and none used", bookings)
	}
	h.exchangeAndAdvance(worker, untilWindow-untilReserved)
	h.submitTo("booked", "burst", tasks(3))
	if answer := worker.exchange(); len(answer.Start) != 3 {
		t.Fatalf("got starts %+v, want all three tasks of the burst", answer.Start)
	}
	if booking := h.reservations()[0]; booking.State != api.BookingOpen || booking.Used != 3 {
		t.Errorf("got %+v, want three slots in use", booking)
	}
}

func TestReservations_ReservedWorkPreemptsPreemptible(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.putConfig(reservedConfig(2))
	filler := tasks(4)
	for i := range filler.Tasks {
		filler.Tasks[i].Preemptible = true
	}
	h.submitTo("q", "filler", filler)
	if answer := worker.exchange(); len(answer.Start) != 4 {
		t.Fatalf("got starts %+v, want 4 that fill the worker", answer.Start)
	}
	h.exchangeAndAdvance(worker, untilWindow)
	h.submitTo("booked", "burst", tasks(2))
	answer := worker.exchange()
	if len(answer.Stop) != 2 || len(answer.Start) != 0 {
		t.Fatalf("got %+v, want two runs stopped and none started yet", answer)
	}
	worker.stopped(answer.Stop)
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 2 || answer.Start[0].Task[:5] != "burst" {
		t.Fatalf("got starts %+v, want both tasks of the burst in the freed capacity", answer.Start)
	}
	for i := range 4 {
		if task := h.task("filler", i); task.Failures != 0 {
			t.Errorf("got task %+v, want no failure counted for a preemption", task)
		}
	}
}

func TestReservations_ReleasedWindowFreesCapacity(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.putConfig(reservedConfig(4))
	h.exchangeAndAdvance(worker, untilWindow)
	h.submitTo("q", "j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Fatalf("task was placed in reserved capacity: %+v", task)
	}
	window := h.reservations()[0]
	release := protocol.ReleaseRequest{Release: api.ReleaseRequest{Queue: "booked", Booking: "evening", Start: window.Start}}
	if _, err := h.leader.releaseReservation(t.Context(), release); err != nil {
		t.Fatal(err)
	}
	h.settle()
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("task was not placed after the release: %+v", task)
	}
	h.newTerm()
	worker.exchange()
	if state := h.reservations()[0].State; state != api.BookingReleased {
		t.Errorf("window in a new term: got state %s, want released", state)
	}
	release.Release.Start = window.Start.Add(time.Second)
	if _, err := h.leader.releaseReservation(t.Context(), release); !errors.Is(err, &api.Error{Code: api.CodeNotFound}) {
		t.Errorf("release of an unknown window: got %v, want not found", err)
	}
}

func TestReservations_BeyondCapacityAreRefused(t *testing.T) {
	h := newHarness(t)
	h.newWorker("w", "w-1").exchange()
	config := reservedConfig(5) // the worker has capacity for 4
	request := protocol.PutConfigRequest{OrderID: "too-much", Base: h.leader.settings.version, Config: config}
	for range 2 { // a resend of the order gets the same answer
		if _, err := h.leader.putConfig(t.Context(), request); !errors.Is(err, &api.Error{Code: api.CodeInvalid}) {
			t.Fatalf("got error %v, want invalid", err)
		}
	}
	config.Queues[1].Bookings[0].BestEffort = true
	request.OrderID, request.Config = "best-effort", config
	if _, err := h.leader.putConfig(t.Context(), request); err != nil {
		t.Errorf("best-effort reservation: got %v, want no error", err)
	}
}

// reservations returns the windows as listReservations lists them by default.
func (h *harness) reservations() []api.BookingStatus {
	h.t.Helper()
	answer, err := h.leader.listReservations(h.t.Context(), protocol.BookingsRequest{})
	if err != nil {
		h.t.Fatal(err)
	}
	return answer.List.Bookings
}

// stopped reports the given runs as stopped with the next heartbeat.
func (w *fakeWorker) stopped(references []api.RunRef) {
	for _, stopped := range references {
		w.heartbeat.Ended = append(w.heartbeat.Ended, api.EndedRun{RunRef: stopped, Outcome: api.OutcomeStopped})
		var running []api.RunRef
		for _, reference := range w.heartbeat.Running {
			if reference != stopped {
				running = append(running, reference)
			}
		}
		w.heartbeat.Running = running
	}
}
