package api

import "strings"

// zoneOrLabel reports whether a domain is "zone" or "label:KEY".
func zoneOrLabel(domain string) bool {
	key, byLabel := strings.CutPrefix(domain, SpreadByLabelPrefix)
	return domain == SpreadByZone || byLabel && key != ""
}

// checkColocate checks the domain of a step's tasks, which may be left out.
func checkColocate(errors *fieldErrors, field, domain string) {
	if domain != "" && !zoneOrLabel(domain) {
		errors.add(field, domain, `"zone" or "label:KEY"`)
	}
}

// backupRuns checks that a second run of a task beside its first makes sense.
func (c *jobCheck) backupRuns(field string, step *StepSpec, task *TaskSpec) {
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
