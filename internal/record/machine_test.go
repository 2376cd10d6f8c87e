package record

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

func expectEvents(t *testing.T, r *rig, expected ...string) {
	t.Helper()
	if diff := cmp.Diff(expected, r.takeEvents()); diff != "" {
		t.Fatalf("events (-expected +got):\n%s", diff)
	}
}

func expect[T comparable](t *testing.T, what string, got, expected T) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, expected %v", what, got, expected)
	}
}

func TestJobRunsThroughItsSteps(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w"))
	r.submit("j", step("a", 2), step("b", 1, "a", "a"))
	expectEvents(t, r, "worker w-1", "added j", "ready j/a/0", "ready j/a/1")
	expect(t, "state", r.status("j").State, api.StatePending)
	expect(t, "reason", r.status("j").Steps[1].Tasks[0].Reason, `waits for step "a"`)

	r.mustReject(onWorker(id("j", "b", 0), 1, "w"))
	r.mustPlace(onWorker(id("j", "a", 0), 1, "w"), onWorker(id("j", "a", 1), 1, "w"))
	expect(t, "state", r.status("j").State, api.StateRunning)
	r.close(id("j", "a", 0), 1, api.OutcomeSucceeded)
	r.close(id("j", "a", 1), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "opened j/a/0", "opened j/a/1", "closed j/a/0 succeeded",
		"closed j/a/1 succeeded", "ready j/b/0")

	r.mustPlace(onWorker(id("j", "b", 0), 1, "w"))
	r.now += 50
	r.close(id("j", "b", 0), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "opened j/b/0", "closed j/b/0 succeeded", "ended j succeeded")
	status := r.status("j")
	expect(t, "state", status.State, api.StateSucceeded)
	expect(t, "archived", status.Archived, true)
	expect(t, "ended at", status.EndedAt.UnixMilli(), 1050)
	r.machine.Read(func(v View) {
		expect(t, "used", v.Used("w-1"), api.Resources{})
		expect(t, "counts", v.QueueCounts(testQueue), QueueCounts{})
	})
}

func TestSubmitOutcomes(t *testing.T) {
	r := newRig(t)
	expect(t, "first", r.submit("j", step("a", 1)), SubmitAccepted)
	expect(t, "same", r.submit("j", step("a", 1)), SubmitSame)
	expect(t, "other", r.submit("j", step("a", 2)), SubmitConflict)
	expect(t, "queue", r.submitTo("none", "k", step("a", 1)), SubmitUnknownQueue)
	r.cancel("j")
	expect(t, "archived same", r.submit("j", step("a", 1)), SubmitSame)
	expect(t, "archived other", r.submit("j", step("a", 2)), SubmitConflict)
	r.cancel("j", "unknown")
	expect(t, "puts", r.archive.puts, 1)
}

func TestFailuresAndRetryDelay(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w"))
	a := step("a", 2)
	none := 0
	a.Tasks[1].AllowedFailures = &none
	r.submit("j", a, step("b", 1, "a"), step("c", 1, "b"), step("d", 1))
	first := id("j", "a", 0)
	r.mustPlace(onWorker(first, 1, "w"), onWorker(id("j", "a", 1), 1, "w"))
	r.takeEvents()
	r.close(first, 1, api.OutcomeFailed)
	expectEvents(t, r, "closed j/a/0 failed", "ready j/a/0")
	expect(t, "not before", r.task(first).NotBefore, 1200)
	r.mustReject(onWorker(first, 2, "w"))
	r.now += 200
	r.mustReject(onWorker(first, 3, "w"))
	r.mustPlace(onWorker(first, 2, "w"))

	r.close(id("j", "a", 1), 1, api.OutcomeFailed)
	expect(t, "final", r.task(id("j", "a", 1)).State, TaskFailed)
	expect(t, "transitive", r.task(id("j", "c", 0)).State, TaskCancelled)
	expect(t, "reason", r.task(id("j", "c", 0)).Reason, `step "a" failed`)
	expect(t, "other member goes on", r.task(first).State, TaskPlaced)
	expect(t, "independent step goes on", r.task(id("j", "d", 0)).State, TaskReady)
	r.close(first, 2, api.OutcomeLost)
	expect(t, "lost is no failure", r.task(first).Failures, 1)
	r.mustPlace(onWorker(first, 3, "w"), onWorker(id("j", "d", 0), 1, "w"))
	r.close(first, 3, api.OutcomeFailed)
	r.takeEvents()
	r.close(id("j", "d", 0), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "closed j/d/0 succeeded", "ended j failed")
}

func TestRetryDelayIsBounded(t *testing.T) {
	m := newRig(t).machine
	for failures, expected := range map[int]Millis{1: 200, 2: 400, 6: 6400, 7: 6400, 90: 6400} {
		expect(t, fmt.Sprint(failures), m.retryDelay(failures), expected)
	}
}

func TestCancel(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w"))
	r.submit("j", step("a", 3), step("b", 1, "a"))
	r.mustPlace(onWorker(id("j", "a", 0), 1, "w"), onWorker(id("j", "a", 1), 1, "w"))
	r.stop(StopDrained, id("j", "a", 0))
	r.takeEvents()
	r.cancel("j")
	r.cancel("j")
	expectEvents(t, r, "stopping j/a/0 cancelled", "stopping j/a/1 cancelled", "left j/a/2")
	expect(t, "at once", r.status("j").State, api.StateCancelled)
	r.stop(StopPreempted, id("j", "a", 0))
	r.close(id("j", "a", 0), 1, api.OutcomeFailed)
	r.close(id("j", "a", 1), 1, api.OutcomeSucceeded)
	expectEvents(t, r, "closed j/a/0 failed", "closed j/a/1 succeeded", "ended j cancelled")
	tasks := r.status("j").Steps[0].Tasks
	expect(t, "stopped", tasks[0].State, api.StateCancelled)
	expect(t, "succeeded", tasks[1].State, api.StateSucceeded)
}

func TestMassCancelIsOneBatch(t *testing.T) {
	r := newRig(t)
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("j%02d", i))
		r.submit(ids[i], step("a", 1))
	}
	r.cancel(ids[:98]...)
	expect(t, "puts", r.archive.puts, 1)
	expect(t, "archived", len(r.archive.jobs), 98)
	r.machine.Read(func(v View) {
		var left []string
		for job := range v.Jobs("j98") {
			left = append(left, job.ID)
		}
		expect(t, "after", fmt.Sprint(left), "[j99]")
		expect(t, "jobs", v.QueueCounts(testQueue).Jobs, 2)
	})
}

// TestStoppedRunsAreNoFailures: a stop is none, but what a worker reports as
// failed has failed, also after the run was to be stopped; so a task out of
// failures is not started again.
func TestStoppedRunsAreNoFailures(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w"))
	twice := 2
	limited := step("a", 1)
	limited.Tasks[0].AllowedFailures = &twice
	r.submit("j", limited)
	task := id("j", "a", 0)
	r.mustPlace(onWorker(task, 1, "w"))
	r.stop(StopDrained, task)
	r.stop(StopPreempted, task)
	expect(t, "first reason", r.task(task).Run.Stop, StopDrained)
	r.close(task, 1, api.OutcomeStopped)
	expect(t, "failures after a stop", r.task(task).Failures, 0)
	expect(t, "state after a stop", r.task(task).State, TaskReady)

	r.mustPlace(onWorker(task, 2, "w"))
	r.stop(StopDrained, task)
	r.close(task, 2, api.OutcomeFailed)
	expect(t, "failures", r.task(task).Failures, 1)
	r.now += 100_000
	r.mustPlace(onWorker(task, 3, "w"))
	r.stop(StopPreempted, task)
	r.close(task, 3, api.OutcomeFailed)
	expect(t, "state of the job", r.status("j").State, api.StateFailed)
}

func TestLateSuccess(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w"))
	r.submit("j", step("a", 2))
	older, newest := id("j", "a", 0), id("j", "a", 1)
	r.mustPlace(onWorker(older, 1, "w"), onWorker(newest, 1, "w"))
	r.close(older, 1, api.OutcomeLost)
	r.close(newest, 1, api.OutcomeLost)
	r.mustPlace(onWorker(older, 2, "w"))
	r.takeEvents()
	r.close(older, 1, api.OutcomeSucceeded)
	r.close(newest, 1, api.OutcomeFailed)
	expectEvents(t, r)
	r.close(newest, 1, api.OutcomeSucceeded)
	expectEvents(t, r, "left j/a/1")
	expect(t, "newer run stands", r.task(older).State, TaskPlaced)
	r.close(older, 2, api.OutcomeLost)
	r.takeEvents()
	r.close(older, 3, api.OutcomeSucceeded)
	expectEvents(t, r) // no such run was placed
	r.close(older, 1, api.OutcomeSucceeded)
	expectEvents(t, r, "left j/a/0", "ended j succeeded")
}

func TestPlaceIsCheckedAgain(t *testing.T) {
	r := newRig(t)
	other := testWorker("other")
	other.Services = []string{"t"}
	r.register(testWorker("w"), other)
	start := time.UnixMilli(2000)
	timed := step("timed", 1)
	timed.NotBefore = &start
	labelled := step("labelled", 1)
	labelled.Tasks[0].Labels = map[string]string{"disk": "fast"}
	r.submit("j", step("a", 5), timed, labelled)
	r.mustReject(onWorker(id("j", "a", 0), 1, "other"))
	r.mustReject(onWorker(id("j", "a", 0), 1, "gone"))
	r.mustReject(onWorker(id("j", "a", 9), 1, "w"))
	r.mustReject(onWorker(id("j", "timed", 0), 1, "w"))
	r.mustReject(onWorker(id("j", "labelled", 0), 1, "w"))
	stale := onWorker(id("j", "a", 0), 1, "w")
	stale.WorkerID = "w-0"
	r.mustReject(stale)

	var five []Placement
	for i := range 5 {
		five = append(five, onWorker(id("j", "a", i), 1, "w"))
	}
	rejected := r.place(append(five, five[0])...)
	expect(t, "too many", len(rejected), 2)
	expect(t, "first too many", rejected[0], five[4].Run)
	r.close(id("j", "a", 0), 1, api.OutcomeSucceeded)
	r.now = 2000
	r.mustPlace(onWorker(id("j", "timed", 0), 1, "w"))

	r.submitTo("narrow", "n", step("a", 2))
	r.register(testWorker("w2"))
	rejected = r.place(onWorker(id("n", "a", 0), 1, "w2"), onWorker(id("n", "a", 1), 1, "w2"))
	expect(t, "beyond the queue's bound", len(rejected), 1)
}

func TestSpread(t *testing.T) {
	r := newRig(t)
	w1, w2, w3 := testWorker("w1"), testWorker("w2"), testWorker("w3")
	w3.Zone = "z2"
	w2.Labels = map[string]string{"rack": "r"}
	r.register(w1, w2, w3)
	for by, allowed := range map[string][]string{
		api.SpreadByWorker: {"w1", "w2", "w3"},
		api.SpreadByZone:   {"w1", "w3"},
		"label:rack":       {"w1", "w2"},
	} {
		spread := step("a", 3)
		for i := range spread.Tasks {
			spread.Tasks[i].Spread = &api.Spread{By: by}
		}
		r.submit(by, spread)
		var placed []string
		for i, worker := range []string{"w1", "w2", "w3"} {
			if len(r.place(onWorker(id(by, "a", i), 1, worker))) == 0 {
				placed = append(placed, worker)
			}
		}
		expect(t, by, fmt.Sprint(placed), fmt.Sprint(allowed))
	}
}

func TestGroupIsPlacedWhole(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"), testWorker("w2"))
	group := step("a", 3)
	group.Together = true
	r.submit("j", group)
	m0, m1, m2 := id("j", "a", 0), id("j", "a", 1), id("j", "a", 2)
	whole := func(run uint32, w string) []Placement {
		return []Placement{onWorker(m0, run, "w1"), onWorker(m1, run, "w1"), onWorker(m2, run, w)}
	}
	r.mustReject(onWorker(m0, 1, "w1"))
	r.mustReject(whole(1, "gone")...)
	r.mustPlace(whole(1, "w2")...)

	r.close(m2, 1, api.OutcomeLost)
	r.stop(StopGroup, m0, m1)
	r.mustReject(onWorker(m2, 2, "w2"))
	r.close(m0, 1, api.OutcomeStopped)
	r.close(m1, 1, api.OutcomeStopped)
	r.mustReject(onWorker(m2, 2, "w2"), onWorker(m0, 2, "w1"))
	r.mustPlace(whole(2, "w2")...)

	r.close(m2, 2, api.OutcomeLost)
	r.mustPlace(onWorker(m2, 3, "w2"))
	r.close(m0, 2, api.OutcomeSucceeded)
	r.close(m1, 2, api.OutcomeLost)
	r.close(m2, 3, api.OutcomeLost)
	r.mustReject(onWorker(m2, 4, "w2"))
	r.mustPlace(onWorker(m1, 3, "w1"), onWorker(m2, 4, "w2"))
}

func TestConfigOrders(t *testing.T) {
	r := newRig(t)
	changed := testConfig()
	changed.Queues[0].Weight = 5
	refusal := &api.Error{Status: 422, Code: api.CodeInvalid, Message: "no"}
	put := &PutConfig{OrderID: "bad", Base: 1, Config: changed, Digest: "d", Refusal: refusal}
	first := r.apply(Command{PutConfig: put}).Config
	put.Refusal = nil
	if diff := cmp.Diff(first, r.apply(Command{PutConfig: put}).Config); diff != "" {
		t.Fatal(diff)
	}
	expect(t, "race lost", r.putConfig("race", 0, changed).Refusal.Code, api.CodeLostRace)
	expect(t, "still lost", r.putConfig("race", 0, changed).Refusal.Status, 412)
	expect(t, "no event", len(r.takeEvents()), 0)
	expect(t, "other content", r.putConfig("order-1", 1, changed).Refusal.Code, api.CodeConflict)
	expect(t, "accepted", r.putConfig("order-2", 1, changed).Version, 2)
	expectEvents(t, r, "config 2")
	// Three orders are kept; "order-1" is the oldest of four.
	expect(t, "dropped", r.putConfig("order-1", 0, testConfig()).Refusal.Code, api.CodeLostRace)
	kept := r.putConfig("order-2", 1, changed)
	expect(t, "kept", kept.Refusal == nil && kept.Version == 2, true)
	r.machine.Read(func(v View) {
		versions := v.ConfigVersions()
		expect(t, "newest", versions[0].OrderID, "order-2")
		expect(t, "versions", len(versions), 2)
		_, digest, known := v.Order("order-2")
		expect(t, "order", known && digest == changed.Digest(), true)
		_, _, known = v.Order("bad")
		expect(t, "second oldest", known, false)
	})
}

func TestWorkers(t *testing.T) {
	r := newRig(t)
	w := testWorker("w")
	r.register(w)
	r.register(w)
	expectEvents(t, r, "worker w-1")
	r.submit("j", step("a", 1))
	r.mustPlace(onWorker(id("j", "a", 0), 1, "w"))
	next := w
	next.ID = "w-2"
	expect(t, "runs are open", fmt.Sprint(r.register(next)), "[w]")
	thief := w
	thief.Name = "thief"
	expect(t, "id is taken", fmt.Sprint(r.register(thief)), "[thief]")
	r.takeEvents()
	r.apply(Command{Forget: &ForgetWorkers{Names: []string{"w"}}})
	w.Zone = "z9"
	r.register(w)
	r.close(id("j", "a", 0), 1, api.OutcomeLost)
	r.register(next)
	r.apply(Command{Forget: &ForgetWorkers{Names: []string{"w", "none"}}})
	expectEvents(t, r, "worker w-1", "closed j/a/0 lost", "ready j/a/0", "worker w-2", "forgotten w-2")
}

func TestExpiryWaitsForDurableSnapshots(t *testing.T) {
	r := newRig(t)
	r.submit("j", step("a", 1))
	r.cancel("j")
	r.now = 5000
	expire := Command{Expire: &ExpireArchive{Before: 2000, Limit: 10}}
	r.apply(expire)
	r.machine.Read(func(v View) {
		_, known, _ := v.Status("j", nil)
		expect(t, "hidden at once", known, false)
	})
	snapshotBytes(t, r.machine)
	r.apply(expire)
	expect(t, "one snapshot may not be durable", len(r.archive.jobs), 1)
	snapshotBytes(t, r.machine)
	r.apply(expire)
	expect(t, "dropped", len(r.archive.jobs), 0)
	expect(t, "id is free again", r.submit("j", step("b", 1)), SubmitAccepted)
}

func TestClockNeverGoesBack(t *testing.T) {
	r := newRig(t)
	r.now = 500
	r.submit("j", step("a", 1))
	expect(t, "submitted at", r.status("j").SubmittedAt.UnixMilli(), 1000)
}

func TestBrokenEntries(t *testing.T) {
	r := newRig(t)
	if _, err := Encode(Command{}); !errors.Is(err, ErrNoCommand) {
		t.Fatal(err)
	}
	if _, err := Encode(Command{Cancel: &Cancel{}, Stop: &Stop{}}); !errors.Is(err, ErrManyCommands) {
		t.Fatal(err)
	}
	late := time.Date(9999, 12, 31, 23, 0, 0, 0, time.FixedZone("west", -7200))
	timed := step("a", 1)
	timed.NotBefore = &late
	spec := api.JobSpec{Steps: []api.StepSpec{timed}}
	if _, err := Encode(Command{Submit: &Submit{Spec: spec}}); !errors.Is(err, ErrTimeRange) {
		t.Fatal(err)
	}
	if _, err := r.machine.Apply(2, []byte{0xa0}); !errors.Is(err, ErrNoCommand) {
		t.Fatal(err)
	}
	data, _ := Encode(Command{Cancel: &Cancel{}})
	if _, err := r.machine.Apply(1, data); !errors.Is(err, ErrOutOfOrder) {
		t.Fatal(err)
	}
}

func TestTimesKeepTheirFraction(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 678_000_000, time.UTC)
	timed := step("a", 1)
	timed.NotBefore = &start
	spec := api.JobSpec{Queue: testQueue, Steps: []api.StepSpec{timed}}
	data, err := Encode(Command{Submit: &Submit{ID: "j", Spec: spec}})
	if err != nil {
		t.Fatal(err)
	}
	command, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(spec, command.Submit.Spec); diff != "" {
		t.Fatal(diff)
	}
}

func TestRestoreRefusesDamage(t *testing.T) {
	r := newRig(t)
	r.submit("j", step("a", 1))
	before := snapshotBytes(t, r.machine)
	for _, damaged := range [][]byte{nil, before[:len(before)-1], flipped(before, 40), flipped(before, len(before)-1)} {
		if err := r.machine.Restore(bytes.NewReader(damaged)); !errors.Is(err, ErrSnapshot) {
			t.Fatalf("damaged snapshot: %v", err)
		}
	}
	expect(t, "unchanged", bytes.Equal(before, snapshotBytes(t, r.machine)), true)
	r.takeEvents()
	if err := r.machine.Restore(bytes.NewReader(before)); err != nil {
		t.Fatal(err)
	}
	expectEvents(t, r, "replaced")
}

func flipped(data []byte, at int) []byte {
	changed := slices.Clone(data)
	changed[at] ^= 1
	return changed
}

func TestObserveHasNoGapAndStops(t *testing.T) {
	r := newRig(t)
	r.submit("j", step("a", 1))
	jobs, events := 0, 0
	stop := r.machine.Observe(
		func(v View) {
			for range v.Jobs("") {
				jobs++
			}
		},
		func(Event) { events++ },
	)
	r.submit("k", step("a", 1))
	stop()
	r.submit("l", step("a", 1))
	expect(t, "jobs at start", jobs, 1)
	expect(t, "events", events, 2)
}
