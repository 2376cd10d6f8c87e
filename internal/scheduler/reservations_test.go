package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// The harness begins at 22:13:20 UTC; the window of reservedConfig begins 100 s
// later and is held from 70 s on.
const (
	untilHeld   = 70 * time.Second
	untilWindow = 100 * time.Second
)

func reservedConfig(slots int) api.Config {
	return api.Config{Queues: []api.QueueConfig{
		{Name: "q"},
		{Name: "booked", Bookings: []api.BookingConfig{{
			Name: "evening", DailyAt: "22:15", Duration: api.Duration(time.Minute), Lead: api.Duration(30 * time.Second),
			Slots: slots, Slice: api.Resources{CPUMillis: 1000, MemoryMB: 1}, Service: "s",
		}}},
	}}
}

func (h *harness) submitTo(queue, id string, step api.StepSpec) {
	h.t.Helper()
	request := protocol.SubmitRequest{ID: id, Spec: api.JobSpec{Queue: queue, Steps: []api.StepSpec{step}}}
	if _, err := h.leader.submit(h.t.Context(), request); err != nil {
		h.t.Fatalf("submit %s: %v", id, err)
	}
	h.settle()
}

// exchangeAndAdvance lets time go by while the worker keeps its lease.
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
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.putConfig(reservedConfig(3))
	h.exchangeAndAdvance(worker, untilHeld)
	h.submitTo("q", "endless", tasks(4)) // no declared duration: only outside of the slices
	if answer := worker.exchange(); len(answer.Start) != 1 {
		t.Fatalf("want one run beside the three slices, got %+v", answer.Start)
	}
	bookings := h.reservations()
	if len(bookings) == 0 || bookings[0].State != api.BookingHeld || bookings[0].Placed != 3 || bookings[0].Used != 0 {
		t.Fatalf("want three slices held and unused, got %+v", bookings)
	}
	h.exchangeAndAdvance(worker, untilWindow-untilHeld)
	h.submitTo("booked", "burst", tasks(3))
	if answer := worker.exchange(); len(answer.Start) != 3 {
		t.Fatalf("want the burst at once, got %+v", answer.Start)
	}
	if booking := h.reservations()[0]; booking.State != api.BookingOpen || booking.Used != 3 {
		t.Errorf("want three slices in use, got %+v", booking)
	}
}

func TestReservations_ReservedWorkPreemptsPreemptible(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.putConfig(reservedConfig(2))
	filler := tasks(4)
	for i := range filler.Tasks {
		filler.Tasks[i].Preemptible = true
	}
	h.submitTo("q", "filler", filler)
	if answer := worker.exchange(); len(answer.Start) != 4 {
		t.Fatalf("want the worker full, got %+v", answer.Start)
	}
	h.exchangeAndAdvance(worker, untilWindow)
	h.submitTo("booked", "burst", tasks(2))
	answer := worker.exchange()
	if len(answer.Stop) != 2 || len(answer.Start) != 0 {
		t.Fatalf("want two runs stopped and none started yet, got %+v", answer)
	}
	worker.stopped(answer.Stop)
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 2 || answer.Start[0].Task[:5] != "burst" {
		t.Fatalf("want the burst in the capacity that was freed, got %+v", answer.Start)
	}
	for i := range 4 {
		if task := h.task("filler", i); task.Failures != 0 {
			t.Errorf("a preemption counted as a failure: %+v", task)
		}
	}
}

func TestReservations_ReleasedWindowFreesCapacity(t *testing.T) {
	h := newHarness(t)
	worker := h.worker("w", "w-1")
	worker.exchange()
	h.putConfig(reservedConfig(4))
	h.exchangeAndAdvance(worker, untilWindow)
	h.submitTo("q", "j", tasks(1))
	if task := h.task("j", 0); task.Run != 0 {
		t.Fatalf("placed in booked room: %+v", task)
	}
	window := h.reservations()[0]
	release := protocol.ReleaseRequest{Release: api.ReleaseRequest{Queue: "booked", Booking: "evening", Start: window.Start}}
	if _, err := h.leader.releaseReservation(t.Context(), release); err != nil {
		t.Fatal(err)
	}
	h.settle()
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("not placed after the release: %+v", task)
	}
	h.newTerm()
	worker.exchange()
	if state := h.reservations()[0].State; state != api.BookingReleased {
		t.Errorf("a new term sees the window as %s", state)
	}
	release.Release.Start = window.Start.Add(time.Second)
	if _, err := h.leader.releaseReservation(t.Context(), release); !errors.Is(err, &api.Error{Code: api.CodeNotFound}) {
		t.Errorf("release of an unknown window: %v", err)
	}
}

func TestReservations_BeyondCapacityAreRefused(t *testing.T) {
	h := newHarness(t)
	h.worker("w", "w-1").exchange()
	config := reservedConfig(5) // 4 fit
	request := protocol.PutConfigRequest{OrderID: "too-much", Base: h.leader.settings.version, Config: config}
	for range 2 { // and the same order again gets the same answer
		if _, err := h.leader.putConfig(t.Context(), request); !errors.Is(err, &api.Error{Code: api.CodeInvalid}) {
			t.Fatalf("want invalid, got %v", err)
		}
	}
	config.Queues[1].Bookings[0].BestEffort = true
	request.OrderID, request.Config = "best-effort", config
	if _, err := h.leader.putConfig(t.Context(), request); err != nil {
		t.Errorf("best effort: %v", err)
	}
}

func (h *harness) reservations() []api.BookingStatus {
	h.t.Helper()
	answer, err := h.leader.listReservations(h.t.Context(), protocol.BookingsRequest{})
	if err != nil {
		h.t.Fatal(err)
	}
	return answer.List.Bookings
}

// stopped ends the runs named as stopped.
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
