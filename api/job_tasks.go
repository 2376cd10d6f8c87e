package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// TaskCount returns the number of the step's tasks, counting each replica.
func (s *StepSpec) TaskCount() int {
	if s.replicated() {
		return s.Replicas
	}
	return len(s.Tasks)
}

// TaskAt returns the description of the task at an index, from 0 to TaskCount-1.
// All replicas share one description.
func (s *StepSpec) TaskAt(index int) *TaskSpec {
	if s.replicated() {
		return &s.Tasks[0]
	}
	return &s.Tasks[index]
}

// replicated reports whether the only entry of Tasks describes all of the step's
// tasks. It is false for values of Replicas that validation rejects.
func (s *StepSpec) replicated() bool {
	return s.Replicas > 0 && s.Replicas <= MaxReplicas && len(s.Tasks) == 1
}

// TaskCount returns the number of tasks of all steps; for a repeating job, of
// one occurrence.
func (s *JobSpec) TaskCount() int {
	count := 0
	for index := range s.Steps {
		count += s.Steps[index].TaskCount()
	}
	return count
}

// WithService returns a copy of the job in which tasks without a service get the
// given one. The original is not changed.
func (s JobSpec) WithService(service string) JobSpec {
	if service == "" || len(s.MissingServices()) == 0 {
		return s
	}
	s.Steps = slices.Clone(s.Steps)
	for index := range s.Steps {
		s.Steps[index].Tasks = slices.Clone(s.Steps[index].Tasks)
		for number := range s.Steps[index].Tasks {
			task := &s.Steps[index].Tasks[number]
			if task.Service == "" {
				task.Service = service
			}
		}
	}
	return s
}

// MissingServices returns a field error for each task without a service.
func (s *JobSpec) MissingServices() []FieldError {
	var errors fieldErrors
	for index := range s.Steps {
		for number := range s.Steps[index].Tasks {
			if s.Steps[index].Tasks[number].Service == "" {
				errors.add(fmt.Sprintf("steps[%d].tasks[%d].service", index, number), "", expectedService(s.Queue))
			}
		}
	}
	return errors.result()
}

// expectedService returns the text of FieldError.Expected for a task without a
// service.
func expectedService(queue string) string {
	return fmt.Sprintf("a service name of 1 to %d bytes, or a queue that has one; queue %q has none", MaxServiceLength, queue)
}

// PayloadOf returns the payload that is passed to a task: that of the task, or
// that of the job if the task has none. A payload of null counts as none.
func (s *JobSpec) PayloadOf(task *TaskSpec) json.RawMessage {
	if isNullPayload(task.Payload) {
		return s.Payload
	}
	return task.Payload
}

func isNullPayload(payload json.RawMessage) bool {
	trimmed := bytes.TrimSpace(payload)
	return len(trimmed) == 0 || string(trimmed) == "null"
}
