package record_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// tasksPerSubmission is the number of tasks of the submitted job.
const tasksPerSubmission = 10

// submission returns an encoded SubmitJob command. It is built from the stored CBOR
// keys (1 time, 2 token, 3 the submission with 1 id, 2 job spec, 3 digest) instead
// of Go field names, so that a copy of this file can also benchmark older versions
// of the package.
func submission(b *testing.B) []byte {
	b.Helper()
	step := api.StepSpec{Name: "a"}
	for range tasksPerSubmission {
		step.Tasks = append(step.Tasks, api.TaskSpec{
			Service: "s", Resources: api.Resources{CPUMillis: 250, MemoryMB: 512}, Labels: map[string]string{"disk": "fast"},
		})
	}
	spec := api.JobSpec{Queue: "q", Steps: []api.StepSpec{step}}
	data, err := cbor.Marshal(map[int]any{1: 1, 2: 1, 3: map[int]any{1: "job", 2: spec, 3: "digest"}})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkEncode encodes the submission of a job of ten tasks.
func BenchmarkEncode(b *testing.B) {
	command, err := record.Decode(submission(b))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := record.Encode(command); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecode decodes the submission of a job of ten tasks.
func BenchmarkDecode(b *testing.B) {
	data := submission(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := record.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
