package replica

import (
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

func TestNew_ReportsEachMissingField(t *testing.T) {
	_, err := New(Config{Name: "control-1"})
	if err == nil {
		t.Fatal("New succeeded with only a name, want an error")
	}
	for _, field := range []string{"Address", "Seeds", "Store", "Record", "Client"} {
		if want := (&ConfigError{Field: field}).Error(); !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
	if strings.Contains(err.Error(), "Config.Name") {
		t.Errorf("error %q reports Config.Name, which is set", err)
	}
}

func TestConfig_DefaultsFillUnsetFields(t *testing.T) {
	config := Config{MaxVoters: 3, Timing: Timing{Lease: time.Second}}.withDefaults()
	if config.MaxVoters != 3 || config.Timing.Lease != time.Second {
		t.Errorf("got MaxVoters %d, Lease %v, want the configured 3 and 1 s", config.MaxVoters, config.Timing.Lease)
	}
	if config.SnapshotEvery != defaultSnapshotEvery || config.SnapshotBytes != defaultSnapshotBytes || config.RetainedEntries != defaultRetainedEntries {
		t.Errorf("got snapshots every %d entries or %d bytes with %d entries retained, want the defaults", config.SnapshotEvery, config.SnapshotBytes, config.RetainedEntries)
	}
	if config.Timing.Tick != raft.DefaultTickInterval || config.WallClock == nil || config.Logger == nil || config.Lead == nil {
		t.Errorf("got %+v, want defaults for Tick, WallClock, Logger and Lead", config)
	}
}
