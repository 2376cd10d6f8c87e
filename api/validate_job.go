package api

import "fmt"

// ValidateJob validates everything about a job that does not depend on the state
// of the cluster, and returns every invalid field (see MaxFieldErrors). A nil
// config skips the checks that depend on the configuration: that the queue
// exists, that it has a service for tasks without one, that the job does not have
// too many tasks, and that the bounds of the queue and its team allow each group
// to run.
func ValidateJob(id string, spec *JobSpec, config *Config) []FieldError {
	check := jobValidator{spec: spec, config: config}
	check.checkJob(id)
	check.checkStepNames()
	for index := range spec.Steps {
		check.checkStep(index)
	}
	check.checkCycles()
	check.checkRepeat()
	return check.errors.result()
}

// jobValidator validates one job. Its check methods record invalid fields.
type jobValidator struct {
	spec   *JobSpec
	config *Config
	errors fieldErrors
	// stepIndex maps the name of each step to its index. If several steps have
	// the same name, it holds the first.
	stepIndex map[string]int
}

// checkJob validates the id and the fields of the job itself.
func (c *jobValidator) checkJob(id string) {
	if !ValidJobID(id) {
		c.errors.add("id", id, "1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit")
	}
	if !queuePattern.MatchString(c.spec.Queue) {
		c.errors.add("queue", c.spec.Queue, "the name of a queue")
	} else if c.config != nil && c.queueConfig() == nil {
		c.errors.add("queue", c.spec.Queue, "a queue of the configuration in force")
	}
	checkRange(&c.errors, "priority", c.spec.Priority, MinPriority, MaxPriority)
	if c.spec.Caller != "" {
		checkShortName(&c.errors, "caller", c.spec.Caller)
	}
	c.checkPayload("payload", c.spec.Payload)
	if len(c.spec.Steps) == 0 {
		c.errors.add("steps", "[]", "at least one step")
	}
	c.checkTaskCount()
}

// queueConfig returns the job's queue, or nil if the configuration is unknown or
// has no such queue.
func (c *jobValidator) queueConfig() *QueueConfig {
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

// checkTaskCount validates the total number of tasks of the job, or of one
// occurrence if the job repeats.
func (c *jobValidator) checkTaskCount() {
	if c.config == nil {
		return
	}
	limit := c.config.Limits.WithDefaults().MaxTasksPerJob
	if count := c.spec.TaskCount(); count > limit {
		c.errors.add("steps", fmt.Sprintf("%d tasks", count), fmt.Sprintf("at most %d tasks in all", limit))
	}
}
