package api

import (
	"encoding/json"
	"strings"
	"testing"
)

// FuzzDecodeConfig checks that no body panics, that every refusal says
// something, and that a configuration which is taken survives being written,
// read again and completed by the defaults.
func FuzzDecodeConfig(f *testing.F) {
	f.Add(`{"queues":[{"name":"q","priority":5,"max_pending_tasks":10,"default_allowed_failures":2}]}`)
	f.Add(`{"limits":{"max_pending_tasks":5,"submits_per_second":1},"timings":{"hold":"3s","drift_margin":"300ms"}}`)
	f.Add(`{"queues":[{"name":"q"},{"name":"q"}],"drains":[{"worker":"w"}],"unknown":1}`)
	f.Add(`{"timings":{"hold":"-1s"},"limits":{"max_job_bytes":-5}}`)
	f.Fuzz(func(t *testing.T, body string) {
		var config Config
		if refusal := DecodeStrict(strings.NewReader(body), &config); refusal != nil {
			if refusal.Code != CodeMalformed || refusal.Message == "" {
				t.Fatalf("refusal %+v", refusal)
			}
			return
		}
		for _, field := range ValidateConfig(&config) {
			if field.Field == "" || field.Expected == "" {
				t.Fatalf("a wrong field is not explained: %+v", field)
			}
		}
		data, err := json.Marshal(config)
		if err != nil {
			t.Fatalf("what was taken cannot be written: %v", err)
		}
		var again Config
		if refusal := DecodeStrict(strings.NewReader(string(data)), &again); refusal != nil {
			t.Fatalf("what was written cannot be read: %v", refusal)
		}
		if config.Digest() != again.Digest() {
			t.Fatalf("digest changed for %s", data)
		}
		complete := config.WithDefaults()
		if twice := complete.WithDefaults(); twice.Digest() != complete.Digest() {
			t.Fatalf("defaults filled in twice differ for %s", data)
		}
	})
}

// FuzzDecodeJob checks that no body panics, that every refusal says something,
// and that what is taken survives being written and read again.
func FuzzDecodeJob(f *testing.F) {
	f.Add(`{"queue":"q","steps":[{"name":"a","tasks":[{"service":"s","payload":{"b":1,"a":null},"resources":{"cpu_millis":1}}]}]}`)
	f.Add(`{"steps":[{"after":["a"],"not_before":"9999-12-31T23:59:59Z","tasks":[{"spread":{"by":"zone"},"max_duration":"1h"}]}]}`)
	f.Add(`{"queue":{"x":[null]},"Steps":null,"unknown":{}}`)
	f.Fuzz(func(t *testing.T, body string) {
		var spec JobSpec
		if err := DecodeStrict(strings.NewReader(body), &spec); err != nil {
			if err.Code != CodeMalformed || err.Message == "" {
				t.Fatalf("refusal %+v", err)
			}
			return
		}
		_ = ValidateJob("job", &spec, nil)
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatalf("what was taken cannot be written: %v", err)
		}
		var again JobSpec
		if err := DecodeStrict(strings.NewReader(string(data)), &again); err != nil {
			t.Fatalf("what was written cannot be read: %v", err)
		}
		if spec.Digest() != again.Digest() {
			t.Fatalf("digest changed for %s", data)
		}
	})
}
