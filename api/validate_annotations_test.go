package api

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// annotations returns count entries, the first with a value of so many bytes.
func annotations(count, size int) map[string]string {
	made := make(map[string]string, count)
	for number := range count {
		made[fmt.Sprintf("key-%02d", number)] = "text"
	}
	made["key-00"] = strings.Repeat("x", size)
	return made
}

func TestValidateConfig_AnnotationsAndObjective(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Config)
		want   []string
	}{
		{"the most", func(c *Config) { c.Annotations = annotations(MaxAnnotations, MaxAnnotationBytes) }, nil},
		{"too many", func(c *Config) { c.Annotations = annotations(MaxAnnotations+1, 1) }, []string{"annotations"}},
		{"too long", func(c *Config) { c.Annotations = annotations(2, MaxAnnotationBytes+1) }, []string{`annotations["key-00"]`}},
		{"without a name", func(c *Config) { c.Annotations = map[string]string{"": "x"} }, []string{"annotations"}},
		{"too many of a queue", func(c *Config) { c.Queues[0].Annotations = annotations(MaxAnnotations+1, 1) }, []string{"queues[0].annotations"}},
		{"too long of a queue", func(c *Config) { c.Queues[0].Annotations = annotations(1, MaxAnnotationBytes+1) }, []string{`queues[0].annotations["key-00"]`}},
		{"objective", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, Stretch: MaxStretch} }, nil},
		{
			"low objective", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: -1, Stretch: -0.1} },
			[]string{"queues[0].objective.stretch", "queues[0].objective.target"},
		},
		{"high objective", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Stretch: MaxStretch + 0.1} }, []string{"queues[0].objective.stretch"}},
		{"no number", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Stretch: math.NaN()} }, []string{"queues[0].objective.stretch"}},
		{"refuses beyond the least", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, RefuseBeyond: 1} }, nil},
		{"refuses beyond the most", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, RefuseBeyond: MaxRefuseBeyond} }, nil},
		{"refuses what can be met", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{Target: 1, RefuseBeyond: 0.9} }, []string{"queues[0].objective.refuse_beyond"}},
		{"refuses beyond too much", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{RefuseBeyond: MaxRefuseBeyond + 1} }, []string{"queues[0].objective.refuse_beyond"}},
		{"refuses beyond no number", func(c *Config) { c.Queues[0].Objective = &ObjectiveConfig{RefuseBeyond: math.NaN()} }, []string{"queues[0].objective.refuse_beyond"}},
		{"least caller share", func(c *Config) { c.Queues[0].CallerShare = MinCallerShare }, nil},
		{"most caller share", func(c *Config) { c.Queues[0].CallerShare = MaxCallerShare }, nil},
		{"low caller share", func(c *Config) { c.Queues[0].CallerShare = MinCallerShare / 2 }, []string{"queues[0].caller_share"}},
		{"high caller share", func(c *Config) { c.Queues[0].CallerShare = MaxCallerShare + 1 }, []string{"queues[0].caller_share"}},
		{"negative caller share", func(c *Config) { c.Queues[0].CallerShare = -1 }, []string{"queues[0].caller_share"}},
		{"caller share of no number", func(c *Config) { c.Queues[0].CallerShare = math.NaN() }, []string{"queues[0].caller_share"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := validConfig()
			c.change(config)
			if got := fieldNames(ValidateConfig(config)); !slices.Equal(got, c.want) {
				t.Fatalf("wrong fields %v, want %v", got, c.want)
			}
		})
	}
}
