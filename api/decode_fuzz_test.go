package api

import (
	"encoding/json"
	"strings"
	"testing"
)

// FuzzDecodeConfig checks that no body causes a panic, that every rejection has a
// message, and that a decoded configuration is unchanged after it is encoded and
// decoded again. Filling in defaults twice must give the same as once.
func FuzzDecodeConfig(f *testing.F) {
	f.Add(`{"queues":[{"name":"q","priority":5,"max_pending_tasks":10,"default_allowed_failures":2}]}`)
	f.Add(`{"limits":{"max_pending_tasks":5,"submits_per_second":1},"timings":{"hold":"3s","drift_margin":"300ms"}}`)
	f.Add(`{"queues":[{"name":"q"},{"name":"q"}],"drains":[{"worker":"w"}],"unknown":1}`)
	f.Add(`{"timings":{"hold":"-1s"},"limits":{"max_job_bytes":-5}}`)
	f.Fuzz(func(t *testing.T, body string) {
		var config Config
		if refusal := DecodeStrict(strings.NewReader(body), &config); refusal != nil {
			if refusal.Code != CodeMalformed || refusal.Message == "" {
				t.Fatalf("got %+v, want code malformed and a message", refusal)
			}
			return
		}
		for _, field := range ValidateConfig(&config) {
			if field.Field == "" || field.Expected == "" {
				t.Fatalf("got field error %+v, want a path and an expectation", field)
			}
		}
		data, err := json.Marshal(config)
		if err != nil {
			t.Fatalf("encode the decoded configuration: %v", err)
		}
		var decoded Config
		if refusal := DecodeStrict(strings.NewReader(string(data)), &decoded); refusal != nil {
			t.Fatalf("decode of the encoded configuration: %v", refusal)
		}
		if config.Digest() != decoded.Digest() {
			t.Fatalf("encoding and decoding changed the digest for %s", data)
		}
		withDefaults := config.WithDefaults()
		if twice := withDefaults.WithDefaults(); twice.Digest() != withDefaults.Digest() {
			t.Fatalf("filling in defaults a second time changed the digest for %s", data)
		}
	})
}

// FuzzDecodeJob checks that no body causes a panic, that every rejection has a
// message, and that a decoded job is unchanged after it is encoded and decoded
// again.
func FuzzDecodeJob(f *testing.F) {
	f.Add(`{"queue":"q","steps":[{"name":"a","tasks":[{"service":"s","payload":{"b":1,"a":null},"resources":{"cpu_millis":1}}]}]}`)
	f.Add(`{"steps":[{"after":["a"],"not_before":"9999-12-31T23:59:59Z","tasks":[{"spread":{"by":"zone"},"max_duration":"1h"}]}]}`)
	f.Add(`{"queue":{"x":[null]},"Steps":null,"unknown":{}}`)
	f.Fuzz(func(t *testing.T, body string) {
		var spec JobSpec
		if err := DecodeStrict(strings.NewReader(body), &spec); err != nil {
			if err.Code != CodeMalformed || err.Message == "" {
				t.Fatalf("got %+v, want code malformed and a message", err)
			}
			return
		}
		_ = ValidateJob("job", &spec, nil)
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatalf("encode the decoded job: %v", err)
		}
		var decoded JobSpec
		if err := DecodeStrict(strings.NewReader(string(data)), &decoded); err != nil {
			t.Fatalf("decode of the encoded job: %v", err)
		}
		if spec.Digest() != decoded.Digest() {
			t.Fatalf("encoding and decoding changed the digest for %s", data)
		}
	})
}
