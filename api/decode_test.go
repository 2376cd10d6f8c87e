package api

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

func TestDecodeStrict_InvalidBodyIsRejected(t *testing.T) {
	cases := []struct {
		name, body string
		fields     []string
	}{
		{"empty", " \n", nil},
		{"null", "null", nil},
		{"list", "[]", nil},
		{"truncated", `{"queue":"q"`, nil},
		{"trailing object", `{"queue":"q"} {}`, nil},
		{"trailing bracket", `{"queue":"q"}]`, nil},
		{"unknown fields", `{"que":"q","steps":[{"name":"a","tasks":[{"servise":"s"}]}]}`, []string{"que", "steps[0].tasks[0].servise"}},
		{"known field in another case", `{"Queue":"q","que":"q"}`, []string{"que"}},
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
				t.Fatalf("got error %+v, want status 400, code malformed and a message", err)
			}
			if got := fieldNames(err.Fields); !slices.Equal(got, c.fields) {
				t.Fatalf("got invalid fields %v, want %v", got, c.fields)
			}
			for _, field := range err.Fields {
				if field.Value == "" || field.Expected == "" {
					t.Errorf("got field error %+v, want a value and an expectation", field)
				}
			}
		})
	}
}

func TestDecodeStrict_TooLargeBodyIsRejected(t *testing.T) {
	body := http.MaxBytesReader(httptest.NewRecorder(), http.NoBody, 4)
	if err := DecodeStrict(body, &JobSpec{}); err == nil || err.Code != CodeMalformed {
		t.Fatalf("empty body: got error %v, want code malformed", err)
	}
	request := httptest.NewRequest(http.MethodPut, "/", strings.NewReader(`{"queue":"q"}`))
	err := DecodeStrict(http.MaxBytesReader(httptest.NewRecorder(), request.Body, 4), &JobSpec{})
	if !errors.Is(err, &Error{Code: CodeTooLarge}) || err.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("large body: got error %v, want status 413, code too_large", err)
	}
}
