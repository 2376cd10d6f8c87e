package api

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestValidateConfig_NamesEveryInvalidField(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Config)
		want   []string
	}{
		{"defaults", func(*Config) {}, nil},
		{"no queue", func(c *Config) { c.Queues = nil }, []string{"queues"}},
		{"queue name", func(c *Config) { c.Queues[0].Name = "Big" }, []string{"queues[0].name"}},
		{"duplicate queue", func(c *Config) { c.Queues = append(c.Queues, c.Queues[0]) }, []string{"queues[1].name"}},
		{"queue bounds", func(c *Config) {
			c.Queues[0] = QueueConfig{Name: "q", Priority: 1001, Weight: 1001, MaxRunningTasks: -1, MaxPendingTasks: -1, DefaultAllowedFailures: 1001, HeadroomPercent: 91}
		}, []string{"queues[0].default_allowed_failures", "queues[0].headroom_percent", "queues[0].max_pending_tasks", "queues[0].max_running_tasks", "queues[0].priority", "queues[0].weight"}},
		{"long service", func(c *Config) { c.Queues[0].Service = strings.Repeat("s", 129) }, []string{"queues[0].service"}},
		{
			"drains", func(c *Config) { c.Drains = DrainConfig{Workers: []string{"w", "w"}, Zones: []string{""}} },
			[]string{"drains.workers[1]", "drains.zones[0]"},
		},
		{
			"limits", func(c *Config) { c.Limits = LimitConfig{-1, -1, -1, -1} },
			[]string{"limits.max_job_bytes", "limits.max_pending_tasks", "limits.max_tasks_per_job", "limits.submits_per_second"},
		},
		{"heartbeat interval above a quarter of the hold", func(c *Config) { c.Timings.HeartbeatInterval = Duration(751 * time.Millisecond) }, []string{"timings.heartbeat_interval"}},
		{"heartbeat interval too short", func(c *Config) { c.Timings.HeartbeatInterval = Duration(9 * time.Millisecond) }, []string{"timings.heartbeat_interval"}},
		{"hold too short", func(c *Config) { c.Timings.Hold = Duration(499 * time.Millisecond) }, []string{"timings.heartbeat_interval", "timings.hold"}},
		{"hold at the bound of MaxSilence", func(c *Config) { c.Timings.Hold = Duration(4700 * time.Millisecond) }, nil},
		{"hold above the bound of MaxSilence", func(c *Config) { c.Timings.Hold = Duration(4701 * time.Millisecond) }, []string{"timings.hold"}},
		{"margin too small", func(c *Config) { c.Timings.DriftMargin = Duration(29 * time.Millisecond) }, []string{"timings.drift_margin"}},
		{
			"negative timings", func(c *Config) { c.Timings = TimingConfig{RetryDelay: -1, DrainGrace: -1, Retention: -1} },
			[]string{"timings.drain_grace", "timings.retention", "timings.retry_delay"},
		},
		{"long timings", func(c *Config) {
			c.Timings = TimingConfig{RetryDelay: Duration(time.Minute + 1), DrainGrace: Duration(time.Hour + 1)}
		}, []string{"timings.drain_grace", "timings.retry_delay"}},
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
