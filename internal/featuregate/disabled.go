package featuregate

import (
	"fmt"
	"slices"
	"strings"
)

// DisabledSet is a set of disabled features. The zero value disables none. A set is
// immutable after Parse, and so safe for concurrent use.
type DisabledSet struct{ features []Feature }

// Has reports whether a feature is disabled.
func (d DisabledSet) Has(feature Feature) bool { return slices.Contains(d.features, feature) }

// Features returns the disabled features, in the order of the names passed to Parse.
func (d DisabledSet) Features() []Feature { return slices.Clone(d.features) }

// Parse returns the set of the features with the given names. It fails with an
// *UnknownFeatureError for a name that is not a feature.
func Parse(names []string) (DisabledSet, error) {
	var disabled DisabledSet
	for _, name := range names {
		if !IsKnown(name) {
			return DisabledSet{}, &UnknownFeatureError{Name: name}
		}
		disabled.features = append(disabled.features, Feature(name))
	}
	return disabled, nil
}

// UnknownFeatureError reports that there is no feature with the name.
type UnknownFeatureError struct{ Name string }

// Error implements error. It lists the known names.
func (e *UnknownFeatureError) Error() string {
	var known []string
	for _, feature := range All() {
		known = append(known, string(feature))
	}
	return fmt.Sprintf("unknown feature %q, expected one of %s", e.Name, strings.Join(known, ", "))
}
