package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

func TestReadFile_InvalidFileIsRejected(t *testing.T) {
	cases := []struct{ name, content, err string }{
		{"job.yaml", "", ": the file is empty"},
		{"job.json", "", ": the body is empty; expected a JSON object"},
		{"job.yaml", "- a", ": the body is not a JSON object"},
		{"job.yaml", "queue: q\nqueue: r", ": line 2: the key \"queue\" stands twice"},
		{"job.yaml", "a: &x {b: 1}\nc:\n  <<: *x", ": line 3: keys must be plain text; merge keys are not supported"},
		{"job.yaml", "queue: [", ": yaml: line 1: did not find expected node content"},
		{"job.yaml", "queue: q\n---\nqueue: r", ": more than one YAML document; expected one"},
		{"job.yaml", "queue: !!binary aGk=", ": line 1: values of type !!binary have no JSON form"},
		{"job.yaml", "queue: .nan", ": line 1: .nan has no JSON form"},
		{"job.yaml", "a: &a [*a]", ": line 1: too deep or, with its aliases, too large"},
		{"job.yaml", "queue: q\nstepz: []\npriority: high\n", ": the body has unknown fields or wrong types\n  stepz is \"[]\", expected no such field; known are queue, priority, caller, payload, repeat, steps\n  priority is \"\\\"high\\\"\", expected a whole number"},
		{"job.json", `{"queue":"q"} {}`, ": there is more behind the JSON object of the body"},
	}
	for _, c := range cases {
		t.Run(c.content, func(t *testing.T) {
			path := writeFile(t, c.name, c.content)
			got := runCommand(t, newFakeFront(t, nil), "", "job", "submit", path, "--id", "j")
			if got.code != ExitUsage {
				t.Errorf("%q: got exit code %d, want 2", c.content, got.code)
			}
			assertText(t, c.content, got.err, "decklever: "+path+c.err+"\n")
		})
	}
}

func TestReadFile_ExamplesAreValid(t *testing.T) {
	const examples = "../../examples"
	a := newApp(Config{})
	var config api.Config
	if err := a.readFile(filepath.Join(examples, "config.yaml"), &config); err != nil {
		t.Fatal(err)
	}
	if fields := api.ValidateConfig(&config); len(fields) > 0 {
		t.Errorf("config.yaml: got invalid fields %v, want none", fields)
	}
	jobs, err := os.ReadDir(filepath.Join(examples, "jobs"))
	if err != nil || len(jobs) < 2 {
		t.Fatalf("got %d example jobs and error %v, want at least 2 and no error", len(jobs), err)
	}
	for _, file := range jobs {
		var spec api.JobSpec
		if err := a.readFile(filepath.Join(examples, "jobs", file.Name()), &spec); err != nil {
			t.Errorf("%s: got error %v, want none", file.Name(), err)
			continue
		}
		if fields := api.ValidateJob("j", &spec, &config); len(fields) > 0 {
			t.Errorf("%s: got invalid fields %v, want none", file.Name(), fields)
		}
		if spec.Steps[0].NotBefore != nil && spec.Steps[0].NotBefore.Location() != time.UTC {
			t.Errorf("%s: got a not_before in another time zone, want UTC", file.Name())
		}
	}
}
