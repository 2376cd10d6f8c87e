package api

import (
	"fmt"
	"strings"
)

// checkStepNames validates that names of steps are well-formed and unique, and
// fills stepIndex.
func (c *jobValidator) checkStepNames() {
	c.stepIndex = make(map[string]int, len(c.spec.Steps))
	for index, step := range c.spec.Steps {
		path := fmt.Sprintf("steps[%d].name", index)
		if !namePattern.MatchString(step.Name) {
			c.errors.add(path, step.Name, "1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit")
		}
		if first, taken := c.stepIndex[step.Name]; taken {
			c.errors.add(path, step.Name, fmt.Sprintf("a name other than that of steps[%d]", first))
			continue
		}
		c.stepIndex[step.Name] = index
	}
}

// checkStep validates one step and its tasks.
func (c *jobValidator) checkStep(index int) {
	step := &c.spec.Steps[index]
	path := fmt.Sprintf("steps[%d]", index)
	c.checkAfter(path+".after", step)
	if step.NotBefore != nil {
		checkTime(&c.errors, path+".not_before", *step.NotBefore)
	}
	if len(step.Tasks) == 0 {
		c.errors.add(path+".tasks", "[]", "at least one task")
	}
	c.checkReplicas(path, step)
	if step.Together || step.Lockstep {
		c.checkGang(step.countField(path), step.TaskCount())
	}
	checkColocate(&c.errors, path+".colocate", step.Colocate)
	for number := range step.Tasks {
		task := fmt.Sprintf("%s.tasks[%d]", path, number)
		c.checkTask(task, &step.Tasks[number])
		c.checkBackupRuns(task+".backup_runs", step, &step.Tasks[number])
	}
}

// checkReplicas validates the number of replicas, and that no more than one entry
// of Tasks describes them.
func (c *jobValidator) checkReplicas(path string, step *StepSpec) {
	checkRange(&c.errors, path+".replicas", step.Replicas, 0, MaxReplicas)
	if step.Replicas > 0 && len(step.Tasks) > 1 {
		c.errors.add(path+".tasks", fmt.Sprintf("%d tasks", len(step.Tasks)), "exactly one task beside replicas, which describes each of them")
	}
}

// checkGang validates that all members of a group may run at the same time: that
// there are at most MaxGroupMembers and no more than the open runs that the queue
// and its team allow.
func (c *jobValidator) checkGang(path string, members int) {
	if members > MaxGroupMembers {
		c.errors.add(path, fmt.Sprintf("%d tasks", members),
			fmt.Sprintf("at most %d tasks in a step that starts together", MaxGroupMembers))
	}
	queue := c.queueConfig()
	if queue == nil {
		return
	}
	for _, bound := range c.config.taskBounds(queue) {
		if members > bound.limit {
			c.errors.add(path, fmt.Sprintf("%d tasks", members),
				fmt.Sprintf("at most %d tasks in a step that starts together, %s", bound.limit, bound.field))
		}
	}
}

// checkAfter validates the names of the steps after which a step starts.
func (c *jobValidator) checkAfter(path string, step *StepSpec) {
	seen := make(map[string]bool, len(step.After))
	for number, name := range step.After {
		field := fmt.Sprintf("%s[%d]", path, number)
		_, known := c.stepIndex[name]
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

// countField returns the path of the field that determines the number of
// tasks.
func (s *StepSpec) countField(path string) string {
	if s.replicated() {
		return path + ".replicas"
	}
	return path + ".tasks"
}

// checkColocate validates the optional StepSpec.Colocate.
func checkColocate(errors *fieldErrors, field, domain string) {
	if domain != "" && !isZoneOrLabel(domain) {
		errors.add(field, domain, `"zone" or "label:KEY"`)
	}
}

// isZoneOrLabel reports whether a domain is "zone" or "label:KEY".
func isZoneOrLabel(domain string) bool {
	key, byLabel := strings.CutPrefix(domain, SpreadByLabelPrefix)
	return domain == SpreadByZone || byLabel && key != ""
}
