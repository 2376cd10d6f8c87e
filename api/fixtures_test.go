package api

import "slices"

func validJob() *JobSpec {
	task := TaskSpec{Service: "sleep", Resources: Resources{CPUMillis: 100}}
	return &JobSpec{
		Queue: "default",
		Steps: []StepSpec{
			{Name: "a", Tasks: []TaskSpec{task}},
			{Name: "b", After: []string{"a"}, Tasks: []TaskSpec{task, task}},
			{Name: "c", After: []string{"a", "b"}, Together: true, Tasks: []TaskSpec{task}},
		},
	}
}

func validConfig() *Config { return &Config{Queues: []QueueConfig{{Name: "default"}}} }

func fieldNames(fields []FieldError) []string {
	var names []string
	for _, field := range fields {
		names = append(names, field.Field)
	}
	slices.Sort(names)
	return names
}
