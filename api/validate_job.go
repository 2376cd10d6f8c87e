package api

import (
	"encoding/json"
	"fmt"
)

// Bounds of a job that no configuration changes.
const (
	// MinPriority and MaxPriority bound priorities of jobs and queues.
	MinPriority = -1000
	MaxPriority = 1000
	// MaxAllowedFailures bounds allowed failures of a task.
	MaxAllowedFailures = 1000
	// MaxGroupMembers bounds the tasks of a step that start together.
	MaxGroupMembers = 512
	// MaxOccurrences bounds the occurrences of a repeating job.
	MaxOccurrences = 100_000
	// MaxOpenTasksPerJob bounds the tasks of a repeating job's open occurrences
	// together; one occurrence is open in any case.
	MaxOpenTasksPerJob = 10_000
	// MaxCheckpointBytes bounds a checkpoint, in bytes.
	MaxCheckpointBytes = 4096
	// MaxServiceLength bounds the name of a service, in bytes.
	MaxServiceLength = 128
	// MaxResource bounds each dimension of room, so that sums over every
	// waiting task stay within 64 bits.
	MaxResource = int64(1_000_000_000_000)
)

// ValidateJob checks all of a job that needs no state, and returns every
// wrong field (see MaxFieldErrors). A nil config leaves out the checks that
// depend on the configuration: that the queue exists, that it has a service for
// tasks without one, the number of tasks, and that the queue and its team let
// each group run whole.
func ValidateJob(id string, spec *JobSpec, config *Config) []FieldError {
	check := jobCheck{spec: spec, config: config}
	check.top(id)
	check.stepNames()
	for index := range spec.Steps {
		check.step(index)
	}
	check.cycles()
	check.repeat()
	return check.errors.all()
}

// jobCheck is one validation of one job.
type jobCheck struct {
	spec   *JobSpec
	config *Config
	errors fieldErrors
	// steps finds a step by name; the first of several of the same name.
	steps map[string]int
}

// top checks the id and the fields of the job itself.
func (c *jobCheck) top(id string) {
	if !ValidJobID(id) {
		c.errors.add("id", id, "1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit")
	}
	if !queuePattern.MatchString(c.spec.Queue) {
		c.errors.add("queue", c.spec.Queue, "the name of a queue")
	} else if c.config != nil && c.queue() == nil {
		c.errors.add("queue", c.spec.Queue, "a queue of the configuration in force")
	}
	checkRange(&c.errors, "priority", c.spec.Priority, MinPriority, MaxPriority)
	if c.spec.Caller != "" {
		checkShortName(&c.errors, "caller", c.spec.Caller)
	}
	c.payload("payload", c.spec.Payload)
	if len(c.spec.Steps) == 0 {
		c.errors.add("steps", "[]", "at least one step")
	}
	c.taskCount()
}

// queue returns the job's queue; nil if the configuration is not known or has
// no such queue.
func (c *jobCheck) queue() *QueueConfig {
	if c.config == nil {
		return nil
	}
	for index := range c.config.Queues {
		if c.config.Queues[index].Name == c.spec.Queue {
			return &c.config.Queues[index]
		}
	}
	return nil
}

// taskCount checks the number of tasks of the whole job.
func (c *jobCheck) taskCount() {
	if c.config == nil {
		return
	}
	limit := c.config.Limits.WithDefaults().MaxTasksPerJob
	if count := c.spec.TaskCount(); count > limit {
		c.errors.add("steps", fmt.Sprintf("%d tasks", count), fmt.Sprintf("at most %d tasks in all", limit))
	}
}

// stepNames checks form and uniqueness of the steps' names.
func (c *jobCheck) stepNames() {
	c.steps = make(map[string]int, len(c.spec.Steps))
	for index, step := range c.spec.Steps {
		path := fmt.Sprintf("steps[%d].name", index)
		if !namePattern.MatchString(step.Name) {
			c.errors.add(path, step.Name, "1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit")
		}
		if first, taken := c.steps[step.Name]; taken {
			c.errors.add(path, step.Name, fmt.Sprintf("a name other than that of steps[%d]", first))
			continue
		}
		c.steps[step.Name] = index
	}
}

// step checks one step and its tasks.
func (c *jobCheck) step(index int) {
	step := &c.spec.Steps[index]
	path := fmt.Sprintf("steps[%d]", index)
	c.after(path+".after", step)
	if step.NotBefore != nil {
		checkTime(&c.errors, path+".not_before", *step.NotBefore)
	}
	if len(step.Tasks) == 0 {
		c.errors.add(path+".tasks", "[]", "at least one task")
	}
	c.replicas(path, step)
	if step.Together || step.Lockstep {
		c.group(step.countField(path), step.TaskCount())
	}
	checkColocate(&c.errors, path+".colocate", step.Colocate)
	for number := range step.Tasks {
		task := fmt.Sprintf("%s.tasks[%d]", path, number)
		c.task(task, &step.Tasks[number])
		c.backupRuns(task+".backup_runs", step, &step.Tasks[number])
	}
}

// replicas checks the number of equal tasks and that one entry describes them.
func (c *jobCheck) replicas(path string, step *StepSpec) {
	checkRange(&c.errors, path+".replicas", step.Replicas, 0, MaxReplicas)
	if step.Replicas > 0 && len(step.Tasks) > 1 {
		c.errors.add(path+".tasks", fmt.Sprintf("%d tasks", len(step.Tasks)), "exactly one task beside replicas, which describes each of them")
	}
}

// countField names the field that says how many tasks the step has.
func (s *StepSpec) countField(path string) string {
	if s.replicated() {
		return path + ".replicas"
	}
	return path + ".tasks"
}

// group checks that a step that starts together can ever do so.
func (c *jobCheck) group(path string, members int) {
	if members > MaxGroupMembers {
		c.errors.add(path, fmt.Sprintf("%d tasks", members),
			fmt.Sprintf("at most %d tasks in a step that starts together", MaxGroupMembers))
	}
	queue := c.queue()
	if queue == nil {
		return
	}
	for _, bound := range c.config.taskBounds(queue) {
		if members > bound.most {
			c.errors.add(path, fmt.Sprintf("%d tasks", members),
				fmt.Sprintf("at most %d tasks in a step that starts together, %s", bound.most, bound.field))
		}
	}
}

// after checks the names of the steps that one step waits for.
func (c *jobCheck) after(path string, step *StepSpec) {
	seen := make(map[string]bool, len(step.After))
	for number, name := range step.After {
		field := fmt.Sprintf("%s[%d]", path, number)
		_, known := c.steps[name]
		switch {
		case name == step.Name:
			c.errors.add(field, name, "a step other than this one")
		case !known:
			c.errors.add(field, name, "the name of a step of this job")
		case seen[name]:
			c.errors.add(field, name, "each step once")
		}
		seen[name] = true
	}
}

// task checks one task.
func (c *jobCheck) task(path string, task *TaskSpec) {
	c.service(path+".service", task)
	c.payload(path+".payload", task.Payload)
	checkRoom(&c.errors, path+".resources", task.Resources)
	checkLabels(&c.errors, path+".labels", task.Labels)
	checkLabels(&c.errors, path+".prefer", task.Prefer)
	checkAtLeast(&c.errors, path+".estimate", task.Estimate, 0)
	if task.Spread != nil {
		c.spread(path+".spread", task.Spread)
	}
	if task.AllowedFailures != nil {
		checkRange(&c.errors, path+".allowed_failures", *task.AllowedFailures, 0, MaxAllowedFailures)
	}
	checkAtLeast(&c.errors, path+".max_duration", task.MaxDuration, 0)
}

// service checks a task's service; one that is missing can be told only by who
// knows the configuration.
func (c *jobCheck) service(field string, task *TaskSpec) {
	if len(task.Service) > MaxServiceLength {
		c.errors.add(field, task.Service, fmt.Sprintf("a service name of 1 to %d bytes", MaxServiceLength))
	}
	if task.Service != "" || c.config == nil {
		return
	}
	if queue := c.queue(); queue == nil || queue.Service == "" {
		c.errors.add(field, "", expectedService(c.spec.Queue))
	}
}

// payload checks that a payload, if there is one, is JSON.
func (c *jobCheck) payload(field string, payload json.RawMessage) {
	if len(payload) > 0 && !json.Valid(payload) {
		c.errors.add(field, string(payload), "JSON")
	}
}

// spread checks a spread rule.
func (c *jobCheck) spread(path string, spread *Spread) {
	if spread.By != SpreadByWorker && !zoneOrLabel(spread.By) {
		c.errors.add(path+".by", spread.By, `"worker", "zone" or "label:KEY"`)
	}
	checkAtLeast(&c.errors, path+".max_per_domain", spread.MaxPerDomain, 0)
}
