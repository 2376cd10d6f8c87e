package api

import (
	"fmt"
	"maps"
	"slices"
)

// checkAnnotations checks number and size of the operator's own texts.
func checkAnnotations(errors *fieldErrors, path string, annotations map[string]string) {
	if len(annotations) > MaxAnnotations {
		errors.add(path, fmt.Sprintf("%d entries", len(annotations)), fmt.Sprintf("at most %d entries", MaxAnnotations))
		return
	}
	if _, empty := annotations[""]; empty {
		errors.add(path, "\"\"", "entries with non-empty names")
	}
	for _, key := range slices.Sorted(maps.Keys(annotations)) {
		if size := len(annotations[key]); size > MaxAnnotationBytes {
			errors.add(fmt.Sprintf("%s[%q]", path, shorten(key)), fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d bytes", MaxAnnotationBytes))
		}
	}
}

// checkObjective checks the time within which jobs should end.
func checkObjective(errors *fieldErrors, path string, objective *ObjectiveConfig) {
	if objective == nil {
		return
	}
	checkAtLeast(errors, path+".target", objective.Target, 0)
	// Written so that what is not a number is wrong too.
	if !(objective.Stretch >= 0 && objective.Stretch <= MaxStretch) {
		errors.add(path+".stretch", objective.Stretch, fmt.Sprintf("0 to %v", MaxStretch))
	}
	checkFactor(errors, path+".refuse_beyond", objective.RefuseBeyond, 1, MaxRefuseBeyond)
}

// checkFactor checks a factor for which 0 stands for the default. What is not a
// number is wrong.
func checkFactor(errors *fieldErrors, path string, factor, low, high float64) {
	if factor != 0 && !(factor >= low && factor <= high) {
		errors.add(path, factor, fmt.Sprintf("0 for the default, or %v to %v", low, high))
	}
}
