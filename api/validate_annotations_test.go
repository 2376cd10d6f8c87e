package api

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// annotations returns count entries, the first of which has a value of size bytes.
func annotations(count, size int) map[string]string {
	entries := make(map[string]string, count)
	for number := range count {
		entries[fmt.Sprintf("key-%02d", number)] = "text"
	}
	entries["key-00"] = strings.Repeat("x", size)
	return entries
}

func TestValidateConfig_AnnotationsAndObjectiveNameInvalidFields(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Config)
		want   []string
	}{
		{"maximum", func(c *Config) { c.Annotations = annotations(MaxAnnotations, MaxAnnotationBytes) }, nil},
		{"too many", func(c *Config) { c.Annotations = annotations(MaxAnnotations+1, 1) }, []string{"annotations"}},
		{"too long", func(c *Config) { c.Annotations = annotations(2, MaxAnnotationBytes+1) }, []string{`annotations["key-00"]`}},
		{"without a name", func(c *Config) { c.Annotations = map[string]string{"": "x"} }, []string{"annotations"}},
		{"too many in a queue", func(c *Config) { c.Queues[0].Annotations = annotations(MaxAnnotations+1, 1) }, []string{"queues[0].annotations"}},
		{"too long in a queue", func(c *Config) { c.Queues[0].Annotations = annotations(1, MaxAnnotationBytes+1) }, []string{`queues[0].annotations["key-00"]`}},
		{"objective", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, Stretch: MaxStretch} }, nil},
		{
			"low objective", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: -1, Stretch: -0.1} },
			[]string{"queues[0].objective.stretch", "queues[0].objective.target"},
		},
		{"high objective", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Stretch: MaxStretch + 0.1} }, []string{"queues[0].objective.stretch"}},
		{"stretch NaN", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Stretch: math.NaN()} }, []string{"queues[0].objective.stretch"}},
		{"lowest refuse beyond", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, RefuseBeyond: 1} }, nil},
		{"highest refuse beyond", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, RefuseBeyond: MaxRefuseBeyond} }, nil},
		{"low refuse beyond", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, RefuseBeyond: 0.9} }, []string{"queues[0].objective.refuse_beyond"}},
		{"high refuse beyond", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{RefuseBeyond: MaxRefuseBeyond + 1} }, []string{"queues[0].objective.refuse_beyond"}},
		{"refuse beyond NaN", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{RefuseBeyond: math.NaN()} }, []string{"queues[0].objective.refuse_beyond"}},
		{"lowest caller share", func(c *Config) { c.Queues[0].CallerShare = MinCallerShare }, nil},
		{"highest caller share", func(c *Config) { c.Queues[0].CallerShare = MaxCallerShare }, nil},
		{"low caller share", func(c *Config) { c.Queues[0].CallerShare = MinCallerShare / 2 }, []string{"queues[0].caller_share"}},
		{"high caller share", func(c *Config) { c.Queues[0].CallerShare = MaxCallerShare + 1 }, []string{"queues[0].caller_share"}},
		{"negative caller share", func(c *Config) { c.Queues[0].CallerShare = -1 }, []string{"queues[0].caller_share"}},
		{"caller share NaN", func(c *Config) { c.Queues[0].CallerShare = math.NaN() }, []string{"queues[0].caller_share"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := validConfig()
			c.change(config)
			if got := fieldNames(ValidateConfig(config)); !slices.Equal(got, c.want) {
				t.Fatalf("got invalid fields %v, want %v", got, c.want)
			}
		})
	}
}
