package record

import (
	"bytes"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

// resumable makes every task of a step resumable.
func resumable(spec api.StepSpec) api.StepSpec {
	for i := range spec.Tasks {
		spec.Tasks[i].Resumable = true
	}
	return spec
}

func (r *rig) closeAt(task TaskID, number uint32, outcome api.Outcome, percent int, text string) {
	r.t.Helper()
	end := RunEnd{Run: RunID{Task: task, Number: number}, Outcome: outcome, Checkpoint: text, Percent: percent}
	r.apply(Command{Close: &Close{Runs: []RunEnd{end}}})
}

func TestCheckpointOfTheNewestRunIsKept(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	spec := resumable(step("a", 2))
	spec.Tasks[1].Resumable = false
	spec.Tasks[0].UntilCancelled, spec.Tasks[1].UntilCancelled = true, true
	r.submit("j", spec)
	task, other := id("j", "a", 0), id("j", "a", 1)
	steps := []struct {
		what    string
		outcome api.Outcome
		percent int
		text    string
		want    string
	}{
		{"lost", api.OutcomeLost, 50, "first", "first"},
		{"none", api.OutcomeStopped, 0, "", "first"},
		{"a later run that was less far", api.OutcomeFailed, 20, "third", "third"},
		{"a success", api.OutcomeSucceeded, 100, "fourth", "third"},
		{"too long", api.OutcomeLost, 30, strings.Repeat("x", api.MaxCheckpointBytes+1), "third"},
		{"as long as may be", api.OutcomeLost, 30, strings.Repeat("x", api.MaxCheckpointBytes), strings.Repeat("x", api.MaxCheckpointBytes)},
	}
	for i, step := range steps {
		number := uint32(i + 1)
		r.now += 100_000
		r.mustPlace(onWorker(task, number, "w1"), onWorker(other, number, "w1"))
		r.closeAt(task, number, step.outcome, step.percent, step.text)
		r.closeAt(other, number, step.outcome, step.percent, step.text)
		expect(t, step.what, r.task(task).NewestCheckpoint(), step.want)
		expect(t, "a task that is not resumable", r.task(other).NewestCheckpoint(), "")
	}
	snapshot := snapshotBytes(t, r.machine)
	again := restored(t, snapshot, r.archive)
	expect(t, "restored", again.state.task(task).checkpoint, r.task(task).checkpoint)
	if !bytes.Equal(snapshot, snapshotBytes(t, again)) {
		t.Fatal("a restored machine writes another snapshot")
	}
}

func TestLateReportBringsItsCheckpoint(t *testing.T) {
	r := newRig(t)
	r.register(testWorker("w1"))
	r.submit("j", resumable(step("a", 1)))
	task := id("j", "a", 0)
	r.mustPlace(onWorker(task, 1, "w1"))
	r.closeAt(task, 1, api.OutcomeLost, 40, "heard")
	r.closeAt(task, 1, api.OutcomeStopped, 40, "at the stop")
	expect(t, "newer of one run", r.task(task).NewestCheckpoint(), "at the stop")
	r.mustPlace(onWorker(task, 2, "w1"))
	r.closeAt(task, 1, api.OutcomeStopped, 90, "stale")
	expect(t, "while a newer run is open", r.task(task).NewestCheckpoint(), "at the stop")
	r.closeAt(task, 2, api.OutcomeLost, 0, "")
	r.closeAt(task, 1, api.OutcomeStopped, 90, "stale")
	expect(t, "of an older run", r.task(task).NewestCheckpoint(), "at the stop")
}

func TestLockstepMembersStartFromOneCheckpoint(t *testing.T) {
	r := newLockstepRig(t, 3)
	group := resumable(step("a", 3))
	group.Lockstep = true
	r.submit("k", group)
	r.members = []TaskID{id("k", "a", 0), id("k", "a", 1), id("k", "a", 2)}
	want := func(what, text string) {
		t.Helper()
		for _, member := range r.members {
			expect(t, what, r.task(member).NewestCheckpoint(), text)
		}
	}
	r.mustPlace(r.whole(1)...)
	r.closeAt(r.members[2], 1, api.OutcomeLost, 30, "at 30")
	r.closeAt(r.members[0], 1, api.OutcomeStopped, 40, "at 40")
	r.closeAt(r.members[1], 1, api.OutcomeStopped, 35, "at 35")
	want("the one that got furthest", "at 40")
	r.mustPlace(r.whole(2)...)
	r.closeAt(r.members[1], 2, api.OutcomeFailed, 0, "")
	r.closeAt(r.members[2], 2, api.OutcomeStopped, 5, "second at 5")
	r.closeAt(r.members[0], 2, api.OutcomeStopped, 0, "")
	want("a newer run", "second at 5")
	again := restored(t, snapshotBytes(t, r.machine), r.archive)
	for _, member := range r.members {
		expect(t, "restored", again.state.task(member).NewestCheckpoint(), "second at 5")
	}
}
