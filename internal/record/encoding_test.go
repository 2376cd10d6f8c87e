package record

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

func TestEncodeAndApply_RejectInvalidEntries(t *testing.T) {
	h := newHarness(t)
	if _, err := Encode(Command{}); !errors.Is(err, ErrNoCommand) {
		t.Fatal(err)
	}
	if _, err := Encode(Command{CancelJobs: &CancelJobs{}, StopRuns: &StopRuns{}}); !errors.Is(err, ErrSeveralCommands) {
		t.Fatal(err)
	}
	unencodable := time.Date(9999, 12, 31, 23, 0, 0, 0, time.FixedZone("west", -7200))
	step := stepSpec("a", 1)
	step.NotBefore = &unencodable
	spec := api.JobSpec{Steps: []api.StepSpec{step}}
	_, err := Encode(Command{SubmitJob: &SubmitJob{Spec: spec}})
	var timeRange *TimeRangeError
	if !errors.Is(err, ErrTimeRange) || !errors.As(err, &timeRange) {
		t.Fatal(err)
	}
	expect(t, "field", timeRange.Field, "steps[0].not_before")
	expect(t, "value", timeRange.Value.Equal(unencodable), true)
	if _, err := h.machine.Apply(2, []byte{0xa0}); !errors.Is(err, ErrNoCommand) {
		t.Fatal(err)
	}
	data, _ := Encode(Command{CancelJobs: &CancelJobs{}})
	if _, err := h.machine.Apply(1, data); !errors.Is(err, ErrOutOfOrder) {
		t.Fatal(err)
	}
}

func TestEncode_TimesKeepMilliseconds(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 678_000_000, time.UTC)
	step := stepSpec("a", 1)
	step.NotBefore = &start
	spec := api.JobSpec{Queue: testQueue, Steps: []api.StepSpec{step}}
	data, err := Encode(Command{SubmitJob: &SubmitJob{ID: "j", Spec: spec}})
	if err != nil {
		t.Fatal(err)
	}
	command, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(spec, command.SubmitJob.Spec); diff != "" {
		t.Fatal(diff)
	}
}
