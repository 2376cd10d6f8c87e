package process

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/settings"
)

// testSettings are those of a process that is never run.
func testSettings() settings.Front {
	return settings.Front{Common: settings.Common{
		Name: "front-1", Zone: "z1", Listen: "127.0.0.1:7200",
		MaxConnections: 70,

		ShutdownDelay: api.Duration(time.Second), StopTimeout: api.Duration(2 * time.Second),
		Log: settings.Log{Level: "error", Format: "text"},
	}}
}

func newTestBase(t *testing.T, apply func(settings.Front)) *Base[settings.Front] {
	t.Helper()
	base, err := NewBase(BaseConfig[settings.Front]{
		Program: "front",
		Initial: testSettings(),
		Common:  func(s *settings.Front) *settings.Common { return &s.Common },
		Apply:   apply,
	})
	if err != nil {
		t.Fatal(err)
	}
	return base
}

func TestBase_DaemonConfigFollowsSettings(t *testing.T) {
	base := newTestBase(t, nil)
	config := base.Daemon(Readiness{Component: "p", Ready: func() bool { return true }}, func(context.Context) error { return nil })
	if config.Listen != "127.0.0.1:7200" || config.ShutdownDelay != time.Second || config.StopTimeout != 2*time.Second {
		t.Errorf("listen %s, shutdown delay %v, stop timeout %v", config.Listen, config.ShutdownDelay, config.StopTimeout)
	}
	if config.MaxConnections != 70 {
		t.Errorf("bound to %d connections", config.MaxConnections)
	}
	if len(config.Background) != 3 {
		t.Errorf("%d background tasks, want the one given and two watches", len(config.Background))
	}
}

func TestBase_HealthFollowsReadinessAndShutdown(t *testing.T) {
	base := newTestBase(t, nil)
	ready := false
	readiness := Readiness{Component: "p", Unready: "not yet", Ready: func() bool { return ready }}
	base.CheckHealth(readiness)
	if status := base.Health.Status(); status.Ready || status.Parts[0].Reason != "not yet" {
		t.Errorf("at first %+v", status)
	}
	ready = true
	base.CheckHealth(readiness)
	if status := base.Health.Status(); !status.Ready || status.Parts[0].Reason != "" {
		t.Errorf("once ready %+v", status)
	}
	base.Daemon(readiness).Stopping()
	if status := base.Health.Status(); status.Ready {
		t.Errorf("at the stop %+v", status)
	}
}

func TestBase_AppliesChangedSettings(t *testing.T) {
	var applied settings.Front
	base := newTestBase(t, func(changed settings.Front) { applied = changed })
	changed := testSettings()
	changed.Zone, changed.Log.Level = "z2", "debug"
	base.apply(changed)
	if applied.Zone != "z2" || !base.Logger.Enabled(t.Context(), -4) {
		t.Errorf("applied %+v", applied)
	}
}
