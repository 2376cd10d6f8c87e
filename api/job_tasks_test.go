package api

import (
	"strings"
	"testing"
)

func TestJobSpec_ServiceDefaultsToQueue(t *testing.T) {
	spec := validJob()
	spec.Steps[1].Tasks[1].Service = ""
	config := validConfig()
	missing := ValidateJob("job-1", spec, config)
	if len(missing) != 1 || missing[0].Field != "steps[1].tasks[1].service" || !strings.Contains(missing[0].Expected, `queue "default" has none`) {
		t.Fatalf("queue without a service: got field errors %+v, want one for the task's service", missing)
	}
	config.Queues[0].Service = "given"
	if fields := ValidateJob("job-1", spec, config); len(fields) > 0 {
		t.Fatalf("queue with a service: got field errors %+v, want none", fields)
	}
	if fields := ValidateJob("job-1", spec, nil); len(fields) > 0 {
		t.Fatalf("without a configuration: got field errors %+v, want none", fields)
	}
	filled := spec.WithService("given")
	if filled.Steps[1].Tasks[1].Service != "given" || filled.Steps[1].Tasks[0].Service != "sleep" || len(filled.MissingServices()) > 0 {
		t.Fatalf("got steps %+v, want service given only for the task that had none", filled.Steps)
	}
	if spec.Steps[1].Tasks[1].Service != "" {
		t.Fatal("WithService changed the original job")
	}
}

func TestJobSpec_PayloadDefaultsToJob(t *testing.T) {
	spec := validJob()
	spec.Payload = []byte(`{"a":1}`)
	for own, want := range map[string]string{"": `{"a":1}`, "null": `{"a":1}`, " null\n": `{"a":1}`, `""`: `""`, "0": "0"} { //nolint:gocritic // the blanks in a key are what is tested
		if got := spec.PayloadOf(&TaskSpec{Payload: []byte(own)}); string(got) != want {
			t.Errorf("payload %q: got %q, want %q", own, got, want)
		}
	}
}
