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
	hour   = record.Millis(3_600_000)
	window = 5 * hour
)

// reservationOf is a window of queue "b" from 5:00 to 6:00.
func reservationOf(slots int, slice int64) Reservation {
	return Reservation{
		ID: "b/daily/1", Queue: "b", Start: window, End: window + hour,
		Slots: slots, SlotSize: cpu(slice), Service: "s",
	}
}

func reservedTask(sequence int, need int64) Task {
	task := testTask("booked", sequence, need)
	task.Queue = "b"
	return task
}

func shortTask(job string, need int64, longest record.Millis) Task {
	task := testTask(job, 0, need)
	task.Spec.MaxDuration = api.Duration(time.Duration(longest) * time.Millisecond)
	return task
}

func preemptibleTask(job string, sequence, priority int, need int64) Task {
	task := testTask(job, sequence, need)
	task.Priority = priority
	task.Spec.Preemptible = true
	return task
}

// reservedSlots returns "WORKER USED/SLOTS" of all slices.
func reservedSlots(e *Engine) string {
	var texts []string
	for _, s := range e.ReservedSlots() {
		texts = append(texts, fmt.Sprintf("%s %d/%d", s.Worker, s.Used, s.Slots))
	}
	return strings.Join(texts, " ")
}

// preemptions returns "VICTIM>BENEFICIARY" of the preemptions asked for.
func preemptions(e *Engine) string {
	var texts []string
	for _, p := range e.Preemptions() {
		texts = append(texts, p.Task.String()+">"+p.Beneficiary.String())
	}
	return strings.Join(texts, " ")
}

func TestReservation_ExcludesWorkThatCannotBePreempted(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	e.SetTime(window - hour)
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	addAll(e, testTask("firm", 1, 3), shortTask("exact", 3, hour), shortTask("long", 3, hour+1000), reservedTask(0, 4))
	e.Add(preemptibleTask("harmless", 9, 0, 5))
	expect(t, "in the lead", placed(e, 10), "exact/a/0@w harmless/a/9@w")
	expect(t, "slices", reservedSlots(e), "w 0/2")
	expect(t, "nobody is preempted", preemptions(e), "")
	e.Add(testTask("small", 10, 2))
	expect(t, "outside of slices", placed(e, 10), "small/a/10@w")
	expect(t, "no room at all", e.Reason(record.TaskID{Job: "firm", Step: "a", Index: 1}), "no room: needs 3 cpu_millis, most free 0")
	e.Release(record.TaskID{Job: "exact", Step: "a"})
	e.Release(record.TaskID{Job: "small", Step: "a", Index: 10})
	e.Add(testTask("large", 1, 4))
	e.Plan(0)
	expect(t, "booked", e.Reason(record.TaskID{Job: "large", Step: "a", Index: 1}), "no room until 06:00 (booked)")
	e.SetReservations(nil)
	expect(t, "given back", placed(e, 1), "booked/a/0@w")
}

func TestReservation_PreemptsRunsOfAnyPriority(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	addAll(e, preemptibleTask("small", 0, 5, 3), preemptibleTask("large", 1, 9, 7))
	expect(t, "before", placed(e, 10), "large/a/1@w small/a/0@w")
	addAll(e, reservedTask(0, 4), reservedTask(1, 4), reservedTask(2, 4))
	e.SetTime(window)
	expect(t, "room is taken", placed(e, 10), "")
	expect(t, "fewest victims", preemptions(e), "large/a/1>booked/a/0 small/a/0>booked/a/1")
	expect(t, "nominated", e.Reason(reservedTask(0, 4).ID), reasonPreempting)
	expect(t, "slices", reservedSlots(e), "w 2/2")
	e.Plan(10)
	expect(t, "not named twice", preemptions(e), "")
	e.Add(preemptibleTask("other", 0, 9, 1))
	expect(t, "room is not there yet", placed(e, 10), "")
	e.Release(record.TaskID{Job: "large", Step: "a", Index: 1})
	expect(t, "the first has room, and what both leave", placed(e, 10), "other/a/0@w booked/a/0@w")
	expect(t, "waiting beyond the slices", e.Reason(reservedTask(2, 4).ID) != reasonPreempting, true)
}

func TestReservation_PlacedOncePreemptedRunsStopped(t *testing.T) {
	e := newEngine(testWorker("w", cpu(10)))
	e.SetReservations([]Reservation{reservationOf(1, 8)})
	e.AddRun(preemptibleTask("victim", 0, 9, 6), "w-1")
	e.Add(reservedTask(0, 8))
	e.SetTime(window)
	e.Plan(10)
	expect(t, "asked", preemptions(e), "victim/a/0>booked/a/0")
	e.Plan(10)
	expect(t, "not named twice", preemptions(e), "")
	e.Release(record.TaskID{Job: "victim", Step: "a"})
	expect(t, "placed", placed(e, 10), "booked/a/0@w")
	e.SetTime(window + hour)
	expect(t, "window over", reservedSlots(e), "")
	e.Add(testTask("firm", 1, 3))
	expect(t, "the booked run goes on", placed(e, 10), "")
}

func TestReservedSlots_PendingAreAssignedFirstAndMove(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.AddRun(testTask("firm", 0, 4), "a-1")
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	e.Plan(10)
	expect(t, "one is pending", reservedSlots(e), "b 0/1")
	e.Add(testTask("waits", 1, 1))
	e.Release(testTask("firm", 0, 4).ID)
	expect(t, "freed room is for the slice", placed(e, 10), "")
	expect(t, "both", reservedSlots(e), "a 0/1 b 0/1")
	e.SetWorker(testWorker("c", cpu(5)))
	e.RemoveWorker("a-1")
	expect(t, "beside the slice", placed(e, 10), "waits/a/1@c")
	expect(t, "moved", reservedSlots(e), "b 0/1 c 0/1")
	closed := testWorker("b", cpu(4))
	closed.Usable = false
	e.SetWorker(closed)
	expect(t, "pending", reservedSlots(e), "c 0/1")
	e.SetWorker(testWorker("c", cpu(4)))
	expect(t, "no room left", reservedSlots(e), "")
}

func TestReservedSlots_AssignedWhereLeastIsPreempted(t *testing.T) {
	e := newEngine(testWorker("a", cpu(6)), testWorker("b", cpu(8)), testWorker("c", cpu(9)))
	e.AddRun(preemptibleTask("harmless", 0, 0, 4), "a-1")
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	e.Plan(10)
	expect(t, "the fullest of those", reservedSlots(e), "b 0/2")
}

func TestReservedSlots_AdoptRunsAfterLeaderChange(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.SetTime(window + 2000)
	held, early := reservedTask(0, 3), reservedTask(1, 3)
	held.StartedAt, early.StartedAt = window+1000, window-1000
	e.AddRun(held, "a-1")
	e.AddRun(early, "b-1")
	e.SetReservations([]Reservation{reservationOf(2, 4)})
	e.Plan(10)
	expect(t, "slices", reservedSlots(e), "a 1/1")
}

func TestPreemption_ByPriority(t *testing.T) {
	high := func(need int64) Task {
		task := testTask("high", 0, need)
		task.Priority = 5
		return task
	}
	old := preemptibleTask("old", 0, 1, 4)
	young := preemptibleTask("young", 0, 1, 4)
	young.StartedAt = 2000
	old.StartedAt = 1000
	tired := preemptibleTask("tired", 0, 0, 4)
	tired.Preemptions = 3
	cases := []struct {
		name  string
		a, b  []Task
		need  int64
		stops string
	}{
		{"fewest", []Task{preemptibleTask("x", 0, 0, 2), preemptibleTask("x", 1, 0, 2)}, []Task{preemptibleTask("y", 0, 4, 4)}, 4, "y/a/0>high/a/0"},
		{"cheapest worker", []Task{preemptibleTask("x", 0, 3, 4)}, []Task{preemptibleTask("y", 0, 2, 4)}, 4, "y/a/0>high/a/0"},
		{"youngest", []Task{old}, nil, 4, "old/a/0>high/a/0"},
		{"two on one", []Task{preemptibleTask("x", 0, 0, 2), preemptibleTask("x", 1, 2, 2)}, []Task{testTask("firm", 0, 4)}, 4, "x/a/0>high/a/0 x/a/1>high/a/0"},
		{"not of the same priority", []Task{preemptibleTask("x", 0, 5, 4)}, []Task{testTask("firm", 0, 4)}, 4, ""},
		{"not too often", []Task{tired}, []Task{testTask("firm", 0, 4)}, 4, ""},
		{"not for what never fits", []Task{old}, []Task{young}, 5, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
			for _, task := range c.a {
				e.AddRun(task, "a-1")
			}
			for _, task := range c.b {
				e.AddRun(task, "b-1")
			}
			if c.name == "youngest" {
				e.SetWorker(testWorker("a", cpu(8)))
				e.RemoveWorker("b-1")
				e.AddRun(young, "a-1")
				c.stops = "young/a/0>high/a/0"
			}
			e.Add(high(c.need))
			expect(t, "not placed yet", placed(e, 10), "")
			asked := e.Preemptions()
			var texts []string
			for _, p := range asked {
				texts = append(texts, p.Task.String()+">"+p.Beneficiary.String())
				e.Release(p.Task)
			}
			expect(t, "victims", strings.Join(texts, " "), c.stops)
			expect(t, "placed", len(e.Plan(10)) > 0, c.stops != "")
		})
	}
}

func TestPreemption_IsBoundedAndKeepsQuotas(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	for i := range 100 {
		e.AddRun(preemptibleTask("low", i, 0, 1), "w-1")
	}
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1}, {Name: "limited", Weight: 1, MaxRunning: 1}})
	for i := range 100 {
		task := testTask("high", i, 1)
		task.Priority = 1
		e.Add(task)
	}
	for i := range 2 {
		task := testTask("limited", i, 1)
		task.Queue, task.Priority = "limited", 2
		e.Add(task)
	}
	e.Plan(1000)
	asked := e.Preemptions()
	expect(t, "first pass", len(asked), maxPreemptionsPerPass)
	expect(t, "one for the quota", asked[0].Beneficiary.String()+" "+asked[1].Beneficiary.Job, "limited/a/0 high")
	e.Plan(1000)
	expect(t, "second pass", len(e.Preemptions()), 100-maxPreemptionsPerPass)
	e.Remove(asked[0].Beneficiary)
	e.Plan(1000)
	expect(t, "a stopping run's room goes on", e.Reason(record.TaskID{Job: "limited", Step: "a", Index: 1}), reasonPreempting)
	expect(t, "no other victim", preemptions(e), "")
}

func TestPreemption_GangIsAllOrNothing(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(4)))
	e.AddRun(preemptibleTask("low", 0, 0, 3), "a-1")
	e.AddRun(preemptibleTask("low", 1, 7, 3), "b-1")
	group := gangOf("g", 4, 4)
	for i := range group {
		group[i].Priority = 5
	}
	addAll(e, group...)
	e.workers.refresh()
	before := trace(e)
	expect(t, "one cannot", placed(e, 10), "")
	expect(t, "none", preemptions(e), "")
	expect(t, "undone", trace(e), before)
	e.Release(record.TaskID{Job: "low", Step: "a", Index: 1})
	e.AddRun(preemptibleTask("low", 1, 4, 3), "b-1")
	expect(t, "all can", placed(e, 10), "")
	expect(t, "both", preemptions(e), "low/a/0>g/a/0 low/a/1>g/a/1")
	e.Release(record.TaskID{Job: "low", Step: "a", Index: 0})
	expect(t, "not half", placed(e, 10), "")
	e.Release(record.TaskID{Job: "low", Step: "a", Index: 1})
	expect(t, "whole", placed(e, 10), "g/a/0@a g/a/1@b")
}

func TestTeam_LimitBoundsItsQueues(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetTeams([]TeamRule{{Name: "t", MaxRunning: 3}})
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, Team: "t"}, {Name: "r", Weight: 1, Team: "t"}})
	for i := range 2 {
		other := testTask("other", i, 1)
		other.Queue = "r"
		addAll(e, testTask("j", i, 1), other)
	}
	expect(t, "up to the limit", placed(e, 10), "j/a/0@w other/a/0@w j/a/1@w")
	addAll(e, gangOf("g", 1, 1)...)
	expect(t, "reason", e.Reason(record.TaskID{Job: "other", Step: "a", Index: 1}), `quota: team "t" has its 3 running tasks`)
	expect(t, "group", e.Reason(record.TaskID{Job: "g", Step: "a"}), `quota: team "t" has its 3 running tasks, group needs 2`)
	e.Release(testTask("j", 0, 1).ID)
	expect(t, "one released", placed(e, 10), "other/a/1@w")
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1}, {Name: "r", Weight: 1, Team: "t"}})
	expect(t, "left the team", placed(e, 10), "g/a/0@w g/a/1@w")
}

func TestGangDrain_ReservesFreedCapacityForGang(t *testing.T) {
	e := newEngine(testWorker("a", cpu(2)), testWorker("b", cpu(2)))
	e.AddRun(testTask("long", 0, 2), "a-1")
	e.AddRun(testTask("long", 1, 2), "b-1")
	addAll(e, gangOf("g", 2, 2)...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	addAll(e, testTask("small", 8, 1), testTask("small", 9, 1))
	e.Release(testTask("long", 0, 2).ID)
	expect(t, "kept for the group", placed(e, 10), "")
	e.Release(testTask("long", 1, 2).ID)
	expect(t, "room of the second", placed(e, 10), "")
	expect(t, "whole", placed(e, 10), "g/a/0@a g/a/1@b")
	e.Release(record.TaskID{Job: "g", Step: "a"})
	expect(t, "others go on", placed(e, 10), "small/a/8@a small/a/9@a")
}

func TestGangDrain_EndsAfterMaxPasses(t *testing.T) {
	e := newEngine(testWorker("a", cpu(2)), testWorker("b", cpu(2)))
	e.AddRun(testTask("long", 0, 2), "a-1")
	e.AddRun(testTask("long", 1, 2), "b-1")
	group := gangOf("g", 2, 2)
	addAll(e, group...)
	for range gangDrainAfterPasses + gangDrainSearchInterval + 1 {
		e.Plan(10)
	}
	e.Release(testTask("long", 0, 2).ID)
	e.Add(testTask("small", 8, 1))
	expect(t, "kept", placed(e, 10), "")
	e.Remove(group[0].ID)
	expect(t, "a member left", placed(e, 10), "small/a/8@a")
	expect(t, "nothing promised", e.workers.byID["a-1"].nominated, api.Resources{})
}
