package api

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

func TestDecodeStrictRefuses(t *testing.T) {
	cases := []struct {
		name, body string
		fields     []string
	}{
		{"empty", " \n", nil},
		{"null", "null", nil},
		{"list", "[]", nil},
		{"cut off", `{"queue":"q"`, nil},
		{"trailing", `{"queue":"q"} {}`, nil},
		{"trailing rubbish", `{"queue":"q"}]`, nil},
		{"unknown fields", `{"que":"q","steps":[{"name":"a","tasks":[{"servise":"s"}]}]}`, []string{"que", "steps[0].tasks[0].servise"}},
		{
			"wrong types", `{"queue":1,"steps":[{"tasks":[{"resources":{"cpu_millis":1.5},"labels":{"x":1},"max_duration":5,"allowed_failures":"3"}],"not_before":"soon","after":"a"}]}`,
			[]string{
				"queue", "steps[0].after", "steps[0].not_before", "steps[0].tasks[0].allowed_failures",
				"steps[0].tasks[0].labels.x", "steps[0].tasks[0].max_duration", "steps[0].tasks[0].resources.cpu_millis",
			},
		},
		{"list where an object belongs", `{"steps":[[]]}`, []string{"steps[0]"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var spec JobSpec
			err := DecodeStrict(strings.NewReader(c.body), &spec)
			if err == nil || err.Status != http.StatusBadRequest || err.Code != CodeMalformed || err.Message == "" {
				t.Fatalf("error %+v", err)
			}
			if got := fieldNames(err.Fields); !slices.Equal(got, c.fields) {
				t.Fatalf("wrong fields %v, want %v", got, c.fields)
			}
			for _, field := range err.Fields {
				if field.Value == "" || field.Expected == "" {
					t.Errorf("field %+v lacks value or expectation", field)
				}
			}
		})
	}
}

func TestDecodeStrictTooLarge(t *testing.T) {
	body := http.MaxBytesReader(httptest.NewRecorder(), http.NoBody, 4)
	if err := DecodeStrict(body, &JobSpec{}); err == nil || err.Code != CodeMalformed {
		t.Fatalf("empty body: %v", err)
	}
	request := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(`{"queue":"q"}`))
	err := DecodeStrict(http.MaxBytesReader(httptest.NewRecorder(), request.Body, 4), &JobSpec{})
	if !errors.Is(err, &Error{Code: CodeTooLarge}) || err.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("large body: %v", err)
	}
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
