package api

import (
	"fmt"
	"maps"
	"slices"
)

// checkAnnotations validates the number and size of annotations.
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
			errors.add(fmt.Sprintf("%s[%q]", path, truncate(key)), fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d bytes", MaxAnnotationBytes))
		}
	}
}
