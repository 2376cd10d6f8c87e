package api

import (
	"strings"
	"testing"
)

func TestValidJobID_Form(t *testing.T) {
	for id, valid := range map[string]bool{
		"a": true, "A:b.c_d-9": true, strings.Repeat("x", 128): true,
		"": false, "a/b": false, "-a": false, "a\n": false, strings.Repeat("x", 129): false,
	} {
		if got := len(ValidateJob(id, validJob(), nil)) == 0; got != valid {
			t.Errorf("job id %q: got valid %v, want %v", id, got, valid)
		}
	}
}

func TestFieldErrors_AreBoundedAndShortened(t *testing.T) {
	spec := validJob()
	spec.Steps[0].Tasks = make([]TaskSpec, 10*MaxFieldErrors)
	spec.Queue = strings.Repeat("é", 100)
	fields := ValidateJob("job-1", spec, nil)
	if len(fields) != MaxFieldErrors+1 || fields[MaxFieldErrors].Field != "" {
		t.Fatalf("got %d field errors, the last %+v, want MaxFieldErrors and one without a field", len(fields), fields[len(fields)-1])
	}
	if length := len([]rune(fields[0].Value)); length != maxValueLength {
		t.Fatalf("got a value of %d characters, want maxValueLength", length)
	}
}
