package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
)

func TestYAMLKeepsWhatWasWritten(t *testing.T) {
	cases := []struct{ yaml, json string }{
		{"a: 2026-01-31\nb: 2026-01-31T14:00:00Z", `{"a":"2026-01-31","b":"2026-01-31T14:00:00Z"}`},
		{"a: 123456789012345678901234567890\nb: 0x10\nc: 1.50\nd: .5", `{"a":123456789012345678901234567890,"b":16,"c":1.50,"d":0.5}`},
		{"z: {}\na: []\nm: null\nn: ~\nt: true\ns: yes\nq: \"1\"", `{"z":{},"a":[],"m":null,"n":null,"t":true,"s":"yes","q":"1"}`},
		{"a: &x {k: [1, 2]}\nb: *x", `{"a":{"k":[1,2]},"b":{"k":[1,2]}}`},
	}
	for _, c := range cases {
		got, err := jsonFromYAML([]byte(c.yaml))
		if err != nil || string(got) != c.json {
			t.Errorf("%s\nis %s, %v, want %s", c.yaml, got, err, c.json)
		}
	}
}

func TestBadFiles(t *testing.T) {
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
		path := writeFile(t, c.name, c.content)
		got := decklever(t, newFakeFront(t, nil), "", "job", "submit", path, "--id", "j")
		if got.code != ExitUsage {
			t.Errorf("%q: exit code %d", c.content, got.code)
		}
		wantText(t, c.content, got.err, "decklever: "+path+c.err+"\n")
	}
}

// TestAliasesAreBounded: nine aliases in each of nine levels are 9^9 values.
func TestAliasesAreBounded(t *testing.T) {
	var text strings.Builder
	text.WriteString("l0: &l0 \"" + strings.Repeat("x", 100) + "\"\n")
	for level := '1'; level <= '9'; level++ {
		below := "*l" + string(level-1)
		text.WriteString("l" + string(level) + ": &l" + string(level) + " [" + strings.Repeat(below+", ", 8) + below + "]\n")
	}
	if _, err := jsonFromYAML([]byte(text.String())); err == nil || !strings.Contains(err.Error(), "too large") {
		t.Fatalf("taken: %v", err)
	}
}

func TestTextWithControlCharactersSurvivesYAML(t *testing.T) {
	for _, want := range []string{`{"a":["\t\n"]}`, `{"a":["\n\ta\n"]}`, `{"a":[" \n"]}`, `{"a":["\u0001\r"]}`} {
		text, err := yamlFromJSON([]byte(want))
		if err != nil {
			t.Fatal(err)
		}
		got, err := jsonFromYAML(text)
		if err != nil || string(got) != want {
			t.Errorf("%s became %s, %v", want, got, err)
		}
	}
}

func TestConfigurationSurvivesYAML(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := api.Config{Queues: []api.QueueConfig{{Name: rapid.String().Draw(t, "name"), Weight: rapid.Int().Draw(t, "weight")}}}
		config.Drains.Zones = rapid.SliceOf(rapid.StringN(0, 8, -1)).Draw(t, "zones")
		config.Timings.Hold = api.Duration(rapid.Int64().Draw(t, "hold"))
		text, err := configYAML(config)
		if err != nil {
			t.Fatal(err)
		}
		data, err := jsonFromYAML(text)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		var read api.Config
		if refusal := api.DecodeStrict(bytes.NewReader(data), &read); refusal != nil || read.Digest() != config.Digest() {
			t.Fatalf("%+v became %+v, %v", config, read, refusal)
		}
	})
}

// TestDiffRebuildsTheNewText applies the edits of random texts.
func TestDiffRebuildsTheNewText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 12)
		before, after := lines.Draw(t, "before"), lines.Draw(t, "after")
		var removed, added []string
		for _, one := range compareLines(before, after) {
			if one.mark != '+' {
				removed = append(removed, one.line)
			}
			if one.mark != '-' {
				added = append(added, one.line)
			}
		}
		if strings.Join(removed, "") != strings.Join(before, "") || strings.Join(added, "") != strings.Join(after, "") {
			t.Fatalf("%v to %v gives %v and %v", before, after, removed, added)
		}
	})
}

func TestDiffHunks(t *testing.T) {
	text := func(lines string) []byte { return []byte(strings.ReplaceAll(lines, " ", "\n") + "\n") }
	got := unifiedDiff("x", "y", text("1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16"), text("1 2 3 4 5 A 7 8 9 10 11 12 13 14 15"))
	want := "--- x\n+++ y\n@@ -3,7 +3,7 @@\n 3\n 4\n 5\n-6\n+A\n 7\n 8\n 9\n@@ -13,4 +13,3 @@\n 13\n 14\n 15\n-16\n"
	wantText(t, "two hunks", got, want)
	wantText(t, "from nothing", unifiedDiff("x", "y", nil, text("1 2")), "--- x\n+++ y\n@@ -0,0 +1,2 @@\n+1\n+2\n")
	wantText(t, "equal", unifiedDiff("x", "y", text("1"), text("1")), "")
}

func TestExamplesAreValid(t *testing.T) {
	const examples = "../../examples"
	a := newApp(Config{})
	var config api.Config
	if err := a.readFile(filepath.Join(examples, "config.yaml"), &config); err != nil {
		t.Fatal(err)
	}
	if fields := api.ValidateConfig(&config); len(fields) > 0 {
		t.Errorf("config.yaml: %v", fields)
	}
	jobs, err := os.ReadDir(filepath.Join(examples, "jobs"))
	if err != nil || len(jobs) < 2 {
		t.Fatalf("%d jobs, %v", len(jobs), err)
	}
	for _, file := range jobs {
		var spec api.JobSpec
		if err := a.readFile(filepath.Join(examples, "jobs", file.Name()), &spec); err != nil {
			t.Errorf("%s: %v", file.Name(), err)
			continue
		}
		if fields := api.ValidateJob("j", &spec, &config); len(fields) > 0 {
			t.Errorf("%s: %v", file.Name(), fields)
		}
		if spec.Steps[0].NotBefore != nil && spec.Steps[0].NotBefore.Location() != time.UTC {
			t.Errorf("%s: a time that is not in UTC", file.Name())
		}
	}
}
