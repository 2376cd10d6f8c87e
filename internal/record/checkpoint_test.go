package record

import (
	"bytes"
	"strings"
	"testing"

	"github.com/decklever/decklever/api"
)

// resumable marks every task of a step as resumable.
func resumable(spec api.StepSpec) api.StepSpec {
	for i := range spec.Tasks {
		spec.Tasks[i].Resumable = true
	}
	return spec
}

func (h *harness) closeWithCheckpoint(task TaskID, number uint32, outcome api.Outcome, percent int, text string) {
	h.t.Helper()
	end := RunEnd{Run: RunID{Task: task, Number: number}, Outcome: outcome, Checkpoint: text, Percent: percent}
	h.apply(Command{CloseRuns: &CloseRuns{Runs: []RunEnd{end}}})
}

func TestCheckpoint_NewestRunWins(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	spec := resumable(stepSpec("a", 2))
	spec.Tasks[1].Resumable = false
	spec.Tasks[0].UntilCancelled, spec.Tasks[1].UntilCancelled = true, true
	h.submit("j", spec)
	task, other := taskID("j", "a", 0), taskID("j", "a", 1)
	steps := []struct {
		what    string
		outcome api.Outcome
		percent int
		text    string
		want    string
	}{
		{"run lost", api.OutcomeLost, 50, "first", "first"},
		{"no checkpoint reported", api.OutcomeStopped, 0, "", "first"},
		{"later run with less progress", api.OutcomeFailed, 20, "third", "third"},
		{"run succeeded", api.OutcomeSucceeded, 100, "fourth", "third"},
		{"checkpoint too long", api.OutcomeLost, 30, strings.Repeat("x", api.MaxCheckpointBytes+1), "third"},
		{"checkpoint of the maximum length", api.OutcomeLost, 30, strings.Repeat("x", api.MaxCheckpointBytes), strings.Repeat("x", api.MaxCheckpointBytes)},
	}
	for i, step := range steps {
		number := uint32(i + 1)
		h.now += 100_000
		h.mustPlace(placementOn(task, number, "w1"), placementOn(other, number, "w1"))
		h.closeWithCheckpoint(task, number, step.outcome, step.percent, step.text)
		h.closeWithCheckpoint(other, number, step.outcome, step.percent, step.text)
		expect(t, step.what, h.task(task).NewestCheckpoint(), step.want)
		expect(t, "checkpoint of a task that is not resumable", h.task(other).NewestCheckpoint(), "")
	}
	snapshot := snapshotBytes(t, h.machine)
	restoredMachine := restoreMachine(t, snapshot, h.archive)
	expect(t, "checkpoint after a restore", restoredMachine.state.jobs.task(task).checkpoint, h.task(task).checkpoint)
	if !bytes.Equal(snapshot, snapshotBytes(t, restoredMachine)) {
		t.Fatal("snapshot of the restored machine differs from the original")
	}
}

func TestCheckpoint_LateReportOfNewestRunCounts(t *testing.T) {
	h := newHarness(t)
	h.register(testWorker("w1"))
	h.submit("j", resumable(stepSpec("a", 1)))
	task := taskID("j", "a", 0)
	h.mustPlace(placementOn(task, 1, "w1"))
	h.closeWithCheckpoint(task, 1, api.OutcomeLost, 40, "heard")
	h.closeWithCheckpoint(task, 1, api.OutcomeStopped, 40, "at the stop")
	expect(t, "checkpoint after a second report of the same run", h.task(task).NewestCheckpoint(), "at the stop")
	h.mustPlace(placementOn(task, 2, "w1"))
	h.closeWithCheckpoint(task, 1, api.OutcomeStopped, 90, "stale")
	expect(t, "checkpoint after a late report while a newer run is open", h.task(task).NewestCheckpoint(), "at the stop")
	h.closeWithCheckpoint(task, 2, api.OutcomeLost, 0, "")
	h.closeWithCheckpoint(task, 1, api.OutcomeStopped, 90, "stale")
	expect(t, "checkpoint after a late report of an older run", h.task(task).NewestCheckpoint(), "at the stop")
}

func TestGang_CommonOutcomeSharesOneCheckpoint(t *testing.T) {
	h := newGangHarness(t, 3)
	gang := resumable(stepSpec("a", 3))
	gang.Lockstep = true
	h.submit("k", gang)
	h.members = []TaskID{taskID("k", "a", 0), taskID("k", "a", 1), taskID("k", "a", 2)}
	expectAll := func(what, text string) {
		t.Helper()
		for _, member := range h.members {
			expect(t, what, h.task(member).NewestCheckpoint(), text)
		}
	}
	h.mustPlace(h.allMembers(1)...)
	h.closeWithCheckpoint(h.members[2], 1, api.OutcomeLost, 30, "at 30")
	h.closeWithCheckpoint(h.members[0], 1, api.OutcomeStopped, 40, "at 40")
	h.closeWithCheckpoint(h.members[1], 1, api.OutcomeStopped, 35, "at 35")
	expectAll("checkpoint of the member with the most progress", "at 40")
	h.mustPlace(h.allMembers(2)...)
	h.closeWithCheckpoint(h.members[1], 2, api.OutcomeFailed, 0, "")
	h.closeWithCheckpoint(h.members[2], 2, api.OutcomeStopped, 5, "second at 5")
	h.closeWithCheckpoint(h.members[0], 2, api.OutcomeStopped, 0, "")
	expectAll("checkpoint of the newer run", "second at 5")
	restoredMachine := restoreMachine(t, snapshotBytes(t, h.machine), h.archive)
	for _, member := range h.members {
		expect(t, "checkpoint after a restore", restoredMachine.state.jobs.task(member).NewestCheckpoint(), "second at 5")
	}
}
