package api

import (
	"slices"
	"strings"
	"testing"
)

func TestValidateJob_NamesEveryInvalidField(t *testing.T) {
	negative := -1
	task := func(s *JobSpec) *TaskSpec { return &s.Steps[1].Tasks[1] }
	cases := []struct {
		name   string
		change func(s *JobSpec)
		want   []string
	}{
		{"valid", func(*JobSpec) {}, nil},
		{"until cancelled in a group", func(s *JobSpec) { s.Steps[2].Tasks[0].UntilCancelled = true }, nil},
		{"unknown queue", func(s *JobSpec) { s.Queue = "other" }, []string{"queue"}},
		{"no steps", func(s *JobSpec) { s.Steps = nil }, []string{"steps"}},
		{"priority", func(s *JobSpec) { s.Priority = 1001 }, []string{"priority"}},
		{"caller", func(s *JobSpec) { s.Caller = "team-7.night_run" }, nil},
		{"caller with a space", func(s *JobSpec) { s.Caller = "team 7" }, []string{"caller"}},
		{"long caller", func(s *JobSpec) { s.Caller = strings.Repeat("c", 65) }, []string{"caller"}},
		{"step name with slash", func(s *JobSpec) { s.Steps[2].Name = "c/d" }, []string{"steps[2].name"}},
		{"duplicate step name", func(s *JobSpec) { s.Steps[2].Name = "b"; s.Steps[2].After = nil }, []string{"steps[2].name"}},
		{"after unknown", func(s *JobSpec) { s.Steps[1].After = []string{"a", "z"} }, []string{"steps[1].after[1]"}},
		{"after itself", func(s *JobSpec) { s.Steps[1].After = []string{"b"} }, []string{"steps[1].after[0]"}},
		{"after twice", func(s *JobSpec) { s.Steps[1].After = []string{"a", "a"} }, []string{"steps[1].after[1]"}},
		{"cycle", func(s *JobSpec) { s.Steps[0].After = []string{"c"} }, []string{"steps[1].after[0]", "steps[2].after[0]"}},
		{"no tasks", func(s *JobSpec) { s.Steps[1].Tasks = nil }, []string{"steps[1].tasks"}},
		{"too many tasks", func(s *JobSpec) { s.Steps[1].Tasks = slices.Repeat(s.Steps[1].Tasks, 500) }, []string{"steps"}},
		{"too large a group", func(s *JobSpec) { s.Steps[2].Tasks = slices.Repeat(s.Steps[2].Tasks, MaxGroupMembers+1) }, []string{"steps[2].tasks"}},
		{"largest group", func(s *JobSpec) { s.Steps[2].Tasks = slices.Repeat(s.Steps[2].Tasks, MaxGroupMembers) }, nil},
		{"service", func(s *JobSpec) { task(s).Service = "" }, []string{"steps[1].tasks[1].service"}},
		{"no cpu", func(s *JobSpec) { task(s).Resources.CPUMillis = 0 }, []string{"steps[1].tasks[1].resources.cpu_millis"}},
		{"huge cpu", func(s *JobSpec) { task(s).Resources.CPUMillis = MaxResource + 1 }, []string{"steps[1].tasks[1].resources.cpu_millis"}},
		{"memory", func(s *JobSpec) { task(s).Resources.MemoryMB = -1 }, []string{"steps[1].tasks[1].resources.memory_mb"}},
		{"accelerators", func(s *JobSpec) { task(s).Resources.Accelerators = -1 }, []string{"steps[1].tasks[1].resources.accelerators"}},
		{"label key", func(s *JobSpec) { task(s).Labels = map[string]string{"": "x"} }, []string{"steps[1].tasks[1].labels"}},
		{"spread by label", func(s *JobSpec) { task(s).Spread = &Spread{By: "label:rack"} }, nil},
		{
			"spread", func(s *JobSpec) { task(s).Spread = &Spread{By: "label:", MaxPerDomain: -1} },
			[]string{"steps[1].tasks[1].spread.by", "steps[1].tasks[1].spread.max_per_domain"},
		},
		{"allowed failures", func(s *JobSpec) { task(s).AllowedFailures = &negative }, []string{"steps[1].tasks[1].allowed_failures"}},
		{"max duration", func(s *JobSpec) { task(s).MaxDuration = -1 }, []string{"steps[1].tasks[1].max_duration"}},
		{"job payload", func(s *JobSpec) { s.Payload = []byte("{") }, []string{"payload"}},
		{"replicas", func(s *JobSpec) { s.Steps[0].Replicas = 997 }, nil},
		{"too many replicas", func(s *JobSpec) { s.Steps[0].Replicas = 997; s.Steps[2].Replicas = 2 }, []string{"steps"}},
		{"huge replicas", func(s *JobSpec) { s.Steps[0].Replicas = 1 << 62; s.Steps[2].Replicas = 1 << 62 }, []string{"steps[0].replicas", "steps[2].replicas"}},
		{"negative replicas", func(s *JobSpec) { s.Steps[0].Replicas = -1 }, []string{"steps[0].replicas"}},
		{"replicas of two tasks", func(s *JobSpec) { s.Steps[1].Replicas = 2 }, []string{"steps[1].tasks"}},
		{"replicas of no task", func(s *JobSpec) { s.Steps[1].Replicas = 2; s.Steps[1].Tasks = nil }, []string{"steps[1].tasks"}},
		{"too many replicas of a group", func(s *JobSpec) { s.Steps[2].Replicas = MaxGroupMembers + 1 }, []string{"steps[2].replicas"}},
		{"long service", func(s *JobSpec) { task(s).Service = strings.Repeat("s", 129) }, []string{"steps[1].tasks[1].service"}},
		{"payload", func(s *JobSpec) { task(s).Payload = []byte("{") }, []string{"steps[1].tasks[1].payload"}},
		{
			"several", func(s *JobSpec) {
				s.Queue = ""
				s.Priority = -1001
				s.Steps[0].Name = ""
				s.Steps[0].Tasks[0].Service = ""
			},
			[]string{"priority", "queue", "steps[0].name", "steps[0].tasks[0].service", "steps[1].after[0]", "steps[2].after[0]"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := validJob()
			c.change(spec)
			if got := fieldNames(ValidateJob("job-1", spec, validConfig())); !slices.Equal(got, c.want) {
				t.Fatalf("got invalid fields %v, want %v", got, c.want)
			}
		})
	}
}

func TestValidateJob_CycleNamesItsSteps(t *testing.T) {
	spec := validJob()
	spec.Steps[0].After = []string{"b"}
	spec.Steps[2].After = nil
	fields := ValidateJob("job-1", spec, nil)
	if len(fields) != 1 || fields[0].Value != "a after b after a" {
		t.Fatalf("got field errors %+v, want one with the value \"a after b after a\"", fields)
	}
}
