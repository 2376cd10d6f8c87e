package api

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestValidateJob_GangLargerThanQuotaIsRejected(t *testing.T) {
	config := configWithBooking()
	config.Queues[0].MaxRunningTasks = 3
	config.Teams[0].MaxRunningTasks = 2
	spec := validJob()
	spec.Steps[1].Tasks = slices.Repeat(spec.Steps[1].Tasks, 2)
	spec.Steps[2].Tasks = slices.Repeat(spec.Steps[2].Tasks, 4)
	want := []FieldError{
		{"steps[2].tasks", "4 tasks", `at most 3 tasks in a step that starts together, max_running_tasks of queue "default"`},
		{"steps[2].tasks", "4 tasks", `at most 2 tasks in a step that starts together, max_running_tasks of team "team"`},
	}
	if diff := cmp.Diff(want, ValidateJob("job", spec, config)); diff != "" {
		t.Fatalf("invalid fields (-want +got):\n%s", diff)
	}
	spec.Steps[2].Tasks = spec.Steps[2].Tasks[:2]
	if fields := ValidateJob("job", spec, config); len(fields) > 0 {
		t.Fatalf("got field errors %v, want none", fields)
	}
}

func TestValidateJob_PlacementNamesInvalidFields(t *testing.T) {
	cases := []struct {
		name   string
		change func(step *StepSpec, task *TaskSpec)
		want   []string
	}{
		{"colocate by zone", func(step *StepSpec, _ *TaskSpec) { step.Colocate = "zone" }, nil},
		{"colocate by label", func(step *StepSpec, _ *TaskSpec) { step.Colocate = "label:rack" }, nil},
		{"colocate by worker", func(step *StepSpec, _ *TaskSpec) { step.Colocate = "worker" }, []string{"steps[0].colocate"}},
		{"colocate by empty label", func(step *StepSpec, _ *TaskSpec) { step.Colocate = "label:" }, []string{"steps[0].colocate"}},
		{"prefer", func(_ *StepSpec, task *TaskSpec) { task.Prefer = map[string]string{"disk": ""} }, nil},
		{"prefer empty label", func(_ *StepSpec, task *TaskSpec) { task.Prefer = map[string]string{"": "x"} }, []string{"steps[0].tasks[0].prefer"}},
		{"estimate", func(_ *StepSpec, task *TaskSpec) { task.Estimate = Duration(time.Hour) }, nil},
		{"negative estimate", func(_ *StepSpec, task *TaskSpec) { task.Estimate = -1 }, []string{"steps[0].tasks[0].estimate"}},
		{"resumable", func(_ *StepSpec, task *TaskSpec) { task.Resumable = true }, nil},
		{"lockstep", func(step *StepSpec, _ *TaskSpec) { step.Lockstep, step.Replicas = true, MaxGroupMembers }, nil},
		{"large lockstep", func(step *StepSpec, _ *TaskSpec) { step.Lockstep, step.Replicas = true, MaxGroupMembers+1 }, []string{"steps[0].replicas"}},
		{"lockstep of listed tasks", func(step *StepSpec, task *TaskSpec) {
			step.Lockstep, step.Tasks = true, slices.Repeat([]TaskSpec{*task}, MaxGroupMembers+1)
		}, []string{"steps[0].tasks"}},
		{"backup runs", func(_ *StepSpec, task *TaskSpec) { task.BackupRuns = true }, nil},
		{"backup runs in lockstep", func(step *StepSpec, task *TaskSpec) { task.BackupRuns, step.Lockstep = true, true }, []string{"steps[0].tasks[0].backup_runs"}},
		{"backup runs in a group", func(step *StepSpec, task *TaskSpec) { task.BackupRuns, step.Together = true, true }, []string{"steps[0].tasks[0].backup_runs"}},
		{"backup runs until cancelled", func(_ *StepSpec, task *TaskSpec) { task.BackupRuns, task.UntilCancelled = true, true }, []string{"steps[0].tasks[0].backup_runs"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := validJob()
			c.change(&spec.Steps[0], &spec.Steps[0].Tasks[0])
			if got := fieldNames(ValidateJob("job-1", spec, validConfig())); !slices.Equal(got, c.want) {
				t.Fatalf("got invalid fields %v, want %v", got, c.want)
			}
		})
	}
}

func TestValidateJob_LockstepStepObeysQueueBounds(t *testing.T) {
	config := validConfig()
	config.Queues[0].MaxRunningTasks = 3
	spec := validJob()
	spec.Steps[0].Lockstep, spec.Steps[0].Replicas = true, 4
	fields := ValidateJob("job-1", spec, config)
	if len(fields) != 1 || fields[0].Field != "steps[0].replicas" || !strings.Contains(fields[0].Expected, "max_running_tasks") {
		t.Fatalf("group of 4 in a queue that may run 3: got field errors %+v, want one for replicas", fields)
	}
}
