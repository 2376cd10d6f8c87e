package process

import (
	"context"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/settings"
)

// testSettings returns settings of a process that is not run.
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
	config := base.DaemonConfig(Readiness{Part: "p", Ready: func() bool { return true }}, func(context.Context) error { return nil })
	if config.Listen != "127.0.0.1:7200" || config.ShutdownDelay != time.Second || config.StopTimeout != 2*time.Second {
		t.Errorf("got listen %s, shutdown delay %v, stop timeout %v, want 127.0.0.1:7200, 1s, 2s", config.Listen, config.ShutdownDelay, config.StopTimeout)
	}
	if config.MaxConnections != 70 {
		t.Errorf("got at most %d connections, want 70", config.MaxConnections)
	}
	if len(config.Background) != 3 {
		t.Errorf("got %d background tasks, want 3: the given one and two watches", len(config.Background))
	}
}

func TestBase_HealthFollowsReadinessAndShutdown(t *testing.T) {
	base := newTestBase(t, nil)
	ready := false
	readiness := Readiness{Part: "p", UnreadyReason: "not yet", Ready: func() bool { return ready }}
	base.CheckHealth(readiness)
	if status := base.Health.Status(); status.Ready || status.Parts[0].Reason != "not yet" {
		t.Errorf("before the process is ready: got %+v, want not ready with reason \"not yet\"", status)
	}
	ready = true
	base.CheckHealth(readiness)
	if status := base.Health.Status(); !status.Ready || status.Parts[0].Reason != "" {
		t.Errorf("once the process is ready: got %+v, want ready without a reason", status)
	}
	base.DaemonConfig(readiness).OnStopping()
	if status := base.Health.Status(); status.Ready {
		t.Errorf("while the process stops: got %+v, want not ready", status)
	}
}

func TestBase_AppliesChangedSettings(t *testing.T) {
	var applied settings.Front
	base := newTestBase(t, func(changed settings.Front) { applied = changed })
	changed := testSettings()
	changed.Zone, changed.Log.Level = "z2", "debug"
	base.apply(changed)
	if applied.Zone != "z2" || !base.Logger.Enabled(t.Context(), -4) {
		t.Errorf("got settings %+v, want zone z2 and log level debug", applied)
	}
}
