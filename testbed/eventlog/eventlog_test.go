package eventlog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/decklever/decklever/api"
)

const (
	startText = `{"mono_ns":100,"event":"start","task":"j/s/0","run":1,"worker_id":"w1","worker":"worker-01","token":3}` + "\n"
	endText   = `{"mono_ns":200,"event":"end","task":"j/s/0","run":1,"worker_id":"w1","worker":"worker-01","token":3,"outcome":"succeeded"}` + "\n"
)

func appendFile(t *testing.T, path, text string) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteString(text); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestReader_PartialLineIsParsedOnceComplete(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "worker-01"+Suffix)
	reader := NewReader(directory)
	appendFile(t, path, startText+endText[:20])
	reader.Poll()
	if got := len(reader.Events()); got != 1 {
		t.Fatalf("got %d events after a partial write, want 1", got)
	}
	appendFile(t, path, endText[20:])
	reader.Poll()
	reader.Poll()
	runs := Runs(reader.Events())
	if len(runs) != 1 || runs[0].End != 200 || runs[0].Outcome != api.OutcomeSucceeded {
		t.Fatalf("got runs %+v, want one that succeeded at 200", runs)
	}
	if errs := reader.Errors(); len(errs) != 0 {
		t.Fatalf("got errors %v, want none", errs)
	}
}

func TestReader_LineTruncatedByKillDoesNotHideNextEvent(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "worker-01"+Suffix)
	appendFile(t, path, endText[:30]+startText+endText)
	reader := NewReader(directory)
	reader.Poll()
	if got := len(reader.Events()); got != 2 {
		t.Fatalf("got %d events, want 2; errors: %v", got, reader.Errors())
	}
}

func TestReader_InvalidLineIsReportedAndSkipped(t *testing.T) {
	directory := t.TempDir()
	appendFile(t, filepath.Join(directory, "worker-01"+Suffix), "nonsense\n"+startText)
	reader := NewReader(directory)
	reader.Poll()
	if len(reader.Errors()) != 1 || len(reader.Events()) != 1 {
		t.Fatalf("got %d errors and %d events, want 1 and 1", len(reader.Errors()), len(reader.Events()))
	}
}

func TestParseTask_InvalidNameReturnsExpectedFormat(t *testing.T) {
	name, err := ParseTask("job-1/step/12")
	if err != nil || name != (TaskName{Job: "job-1", Step: "step", Index: 12}) || name.String() != "job-1/step/12" {
		t.Fatalf("got %+v, error %v, want job-1/step/12", name, err)
	}
	for invalid, want := range map[string]string{
		"":           `task is "", expected JOB/STEP/INDEX`,
		"a/b":        `task is "a/b", expected JOB/STEP/INDEX`,
		"a/b/1/2/3":  `task is "a/b/1/2/3", expected JOB/STEP/INDEX`,
		"/b/1":       `task is "/b/1", expected the names of a job and a step`,
		"a//1":       `task is "a//1", expected the names of a job and a step`,
		"a/b/c":      `task is "a/b/c", expected an index from 0 as its third part`,
		"a/b/-1":     `task is "a/b/-1", expected an index from 0 as its third part`,
		"a/b/c/2":    `task is "a/b/c/2", expected an index from 0 as its third part`,
		"a/b/1/0":    `task is "a/b/1/0", expected an occurrence from 1 as its fourth part`,
		"a/b/1/last": `task is "a/b/1/last", expected an occurrence from 1 as its fourth part`,
		"a/b/1/2":    `task is "a/b/1/2" of occurrence 2: tasks of repeating jobs are not judged`,
	} {
		if _, err := ParseTask(invalid); err == nil || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", invalid, err, want)
		}
	}
	if _, err := ParseTask("a/b/1/2"); !errors.Is(err, ErrLaterOccurrence) {
		t.Errorf("occurrence 2: got error %v, want ErrLaterOccurrence", err)
	}
	if _, err := ParseTask("a/b/1/0"); errors.Is(err, ErrLaterOccurrence) {
		t.Errorf("invalid occurrence 0: got error %v, want another than ErrLaterOccurrence", err)
	}
}
