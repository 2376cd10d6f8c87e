package api

import (
	"encoding/json"
	"fmt"
)

// checkTask validates one task.
func (c *jobValidator) checkTask(path string, task *TaskSpec) {
	c.checkService(path+".service", task)
	c.checkPayload(path+".payload", task.Payload)
	checkResources(&c.errors, path+".resources", task.Resources)
	checkLabels(&c.errors, path+".labels", task.Labels)
	checkLabels(&c.errors, path+".prefer", task.Prefer)
	checkAtLeast(&c.errors, path+".estimate", task.Estimate, 0)
	if task.Spread != nil {
		c.checkSpread(path+".spread", task.Spread)
	}
	if task.AllowedFailures != nil {
		checkRange(&c.errors, path+".allowed_failures", *task.AllowedFailures, 0, MaxAllowedFailures)
	}
	checkAtLeast(&c.errors, path+".max_duration", task.MaxDuration, 0)
}

// checkService validates a task's service. It may be absent only if the queue has
// a service, which is not checked without a configuration.
func (c *jobValidator) checkService(field string, task *TaskSpec) {
	if len(task.Service) > MaxServiceLength {
		c.errors.add(field, task.Service, fmt.Sprintf("a service name of 1 to %d bytes", MaxServiceLength))
	}
	if task.Service != "" || c.config == nil {
		return
	}
	if queue := c.queueConfig(); queue == nil || queue.Service == "" {
		c.errors.add(field, "", expectedService(c.spec.Queue))
	}
}

// checkPayload validates that a payload, if any, is JSON.
func (c *jobValidator) checkPayload(field string, payload json.RawMessage) {
	if len(payload) > 0 && !json.Valid(payload) {
		c.errors.add(field, string(payload), "JSON")
	}
}

// checkSpread validates a spread rule.
func (c *jobValidator) checkSpread(path string, spread *Spread) {
	if spread.By != SpreadByWorker && !isZoneOrLabel(spread.By) {
		c.errors.add(path+".by", spread.By, `"worker", "zone" or "label:KEY"`)
	}
	checkAtLeast(&c.errors, path+".max_per_domain", spread.MaxPerDomain, 0)
}

// checkBackupRuns rejects backup runs of members of a group and of tasks that run
// until cancelled.
func (c *jobValidator) checkBackupRuns(field string, step *StepSpec, task *TaskSpec) {
	if !task.BackupRuns {
		return
	}
	switch {
	case step.Lockstep:
		c.errors.add(field, true, "no backup runs in a step in lockstep, whose tasks run as one group")
	case step.Together:
		c.errors.add(field, true, "no backup runs in a step that starts together")
	case task.UntilCancelled:
		c.errors.add(field, true, "no backup runs of a task that runs until cancelled, since no run of it is the last")
	}
}
