package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

const (
	hour        = record.Millis(3_600_000)
	windowStart = 5 * hour
)

// reservationOf returns a window of queue "b" from 5:00 to 6:00.
func reservationOf(slots int, slotSize int64) Reservation {
	return Reservation{
		ID: "b/daily/1", Queue: "b", Start: windowStart, End: windowStart + hour,
		Slots: slots, SlotSize: cpu(slotSize), Service: "s",
	}
}

func reservedTask(sequence int, need int64) Task {
	task := testTask("booked", sequence, need)
	task.Queue = "b"
	return task
}

func shortTask(job string, need int64, maxDuration record.Millis) Task {
	task := testTask(job, 0, need)
	task.Spec.MaxDuration = api.Duration(time.Duration(maxDuration) * time.Millisecond)
	return task
}

func preemptibleTask(job string, sequence, priority int, need int64) Task {
	task := testTask(job, sequence, need)
	task.Priority = priority
	task.Spec.Preemptible = true
	return task
}

// reservedSlots returns "WORKER USED/SLOTS" for each set of slots.
func reservedSlots(e *Engine) string {
	var texts []string
	for _, s := range e.ReservedSlots() {
		texts = append(texts, fmt.Sprintf("%s %d/%d", s.Worker, s.Used, s.Slots))
	}
	return strings.Join(texts, " ")
}

// preemptions returns "VICTIM>BENEFICIARY" of the requested preemptions.
func preemptions(e *Engine) string {
	var texts []string
	for _, p := range e.Preemptions() {
		texts = append(texts, p.Task.String()+">"+p.Beneficiary.String())
	}
	return strings.Join(texts, " ")
}

func TestReservation_ExcludesWorkThatCannotBePreempted(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	e.SetTime(windowStart - hour)
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	addAll(e, testTask("firm", 1, 3), shortTask("exact", 3, hour), shortTask("long", 3, hour+1000), reservedTask(0, 4))
	e.Add(preemptibleTask("harmless", 9, 0, 5))
	expect(t, "before the window", placed(e, 10), "exact/a/0@w harmless/a/9@w")
	expect(t, "slots", reservedSlots(e), "w 0/2")
	expect(t, "preemptions", preemptions(e), "")
	e.Add(testTask("small", 10, 2))
	expect(t, "outside of slots", placed(e, 10), "small/a/10@w")
	expect(t, "reason without free capacity", e.Reason(record.TaskID{Job: "firm", Step: "a", Index: 1}), "no room: needs 3 cpu_millis, most free 0")
	e.Release(record.TaskID{Job: "exact", Step: "a"})
	e.Release(record.TaskID{Job: "small", Step: "a", Index: 10})
	e.Add(testTask("large", 1, 4))
	e.Plan(0)
	expect(t, "reason with reserved capacity", e.Reason(record.TaskID{Job: "large", Step: "a", Index: 1}), "no room until 06:00 (booked)")
	e.SetReservations(nil)
	expect(t, "after the reservation was dropped", placed(e, 1), "booked/a/0@w")
}

func TestReservation_PreemptsRunsOfAnyPriority(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	addAll(e, preemptibleTask("small", 0, 5, 3), preemptibleTask("large", 1, 9, 7))
	expect(t, "before", placed(e, 10), "large/a/1@w small/a/0@w")
	addAll(e, reservedTask(0, 4), reservedTask(1, 4), reservedTask(2, 4))
	e.SetTime(windowStart)
	expect(t, "capacity is still taken", placed(e, 10), "")
	expect(t, "preemptions with fewest victims", preemptions(e), "large/a/1>booked/a/0 small/a/0>booked/a/1")
	expect(t, "reason of a nominated task", e.Reason(reservedTask(0, 4).ID), reasonAwaitsPreemption)
	expect(t, "slots", reservedSlots(e), "w 2/2")
	e.Plan(10)
	expect(t, "not requested twice", preemptions(e), "")
	e.Add(preemptibleTask("other", 0, 9, 1))
	expect(t, "capacity is not free yet", placed(e, 10), "")
	e.Release(record.TaskID{Job: "large", Step: "a", Index: 1})
	expect(t, "first nominated task and one beside both", placed(e, 10), "other/a/0@w booked/a/0@w")
	expect(t, "waiting beyond the slots", e.Reason(reservedTask(2, 4).ID) != reasonAwaitsPreemption, true)
}

func TestReservation_PlacedOncePreemptedRunsStopped(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	e.SetReservations([]Reservation{reservationOf(1, 8)})
	e.AddRun(preemptibleTask("victim", 0, 9, 6), "w-1")
	e.Add(reservedTask(0, 8))
	e.SetTime(windowStart)
	e.Plan(10)
	expect(t, "preemptions", preemptions(e), "victim/a/0>booked/a/0")
	e.Plan(10)
	expect(t, "not requested twice", preemptions(e), "")
	e.Release(record.TaskID{Job: "victim", Step: "a"})
	expect(t, "placed", placed(e, 10), "booked/a/0@w")
	e.SetTime(windowStart + hour)
	expect(t, "slots after the window", reservedSlots(e), "")
	e.Add(testTask("firm", 1, 3))
	expect(t, "reserved run continues", placed(e, 10), "")
}

func TestReservedSlots_PendingAreAssignedFirstAndMove(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.AddRun(testTask("firm", 0, 4), "a-1")
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	e.Plan(10)
	expect(t, "one is pending", reservedSlots(e), "b 0/1")
	e.Add(testTask("waits", 1, 1))
	e.Release(testTask("firm", 0, 4).ID)
	expect(t, "freed capacity is for the slot", placed(e, 10), "")
	expect(t, "both slots assigned", reservedSlots(e), "a 0/1 b 0/1")
	e.SetWorker(testWorker("c", cpu(5)))
	e.RemoveWorker("a-1")
	expect(t, "placed beside the slot", placed(e, 10), "waits/a/1@c")
	expect(t, "slot moved to c", reservedSlots(e), "b 0/1 c 0/1")
	closed := testWorker("b", cpu(4))
	closed.Usable = false
	e.SetWorker(closed)
	expect(t, "slot of b is pending", reservedSlots(e), "c 0/1")
	e.SetWorker(testWorker("c", cpu(4)))
	expect(t, "no capacity for a slot", reservedSlots(e), "")
}

func TestReservedSlots_AssignedWhereLeastIsPreempted(t *testing.T) {
	e := newEngine(testWorker("a", cpu(6)), testWorker("b", cpu(8)), testWorker("c", cpu(9)))
	e.AddRun(preemptibleTask("harmless", 0, 0, 4), "a-1")
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	e.Plan(10)
	expect(t, "fullest worker without preemption", reservedSlots(e), "b 0/2")
}

func TestReservedSlots_AdoptRunsAfterLeaderChange(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.SetTime(windowStart + 2000)
	running, early := reservedTask(0, 3), reservedTask(1, 3)
	running.StartedAt, early.StartedAt = windowStart+1000, windowStart-1000
	e.AddRun(running, "a-1")
	e.AddRun(early, "b-1")
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	e.Plan(10)
	expect(t, "slots", reservedSlots(e), "a 1/1")
}
