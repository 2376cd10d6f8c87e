package api

import "fmt"

// checkObjective validates a queue's objective.
func checkObjective(errors *fieldErrors, path string, objective *ObjectiveConfig) {
	if objective == nil {
		return
	}
	checkAtLeast(errors, path+".target", objective.Target, 0)
	// The negated condition also rejects NaN.
	if !(objective.Stretch >= 0 && objective.Stretch <= MaxStretch) {
		errors.add(path+".stretch", objective.Stretch, fmt.Sprintf("0 to %v", MaxStretch))
	}
	checkFactor(errors, path+".refuse_beyond", objective.RefuseBeyond, 1, MaxRefuseBeyond)
}
