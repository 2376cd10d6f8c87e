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
		t.Fatal("a replica was made of nothing but a name")
	}
	for _, field := range []string{"Address", "Seeds", "Store", "Record", "Client"} {
		if want := (&ConfigError{Field: field}).Error(); !strings.Contains(err.Error(), want) {
			t.Errorf("%q does not say %q", err, want)
		}
	}
	if strings.Contains(err.Error(), "Config.Name") {
		t.Errorf("%q complains of the name", err)
	}
}

func TestConfig_DefaultsFillWhatIsNotSet(t *testing.T) {
	config := Config{MaxVoters: 3, Timing: Timing{Lease: time.Second}}.withDefaults()
	if config.MaxVoters != 3 || config.Timing.Lease != time.Second {
		t.Errorf("set values were replaced: %d voters, lease %v", config.MaxVoters, config.Timing.Lease)
	}
	if config.SnapshotEvery != defaultSnapshotEvery || config.SnapshotBytes != defaultSnapshotBytes || config.RetainedEntries != defaultRetainedEntries {
		t.Errorf("snapshots every %d entries or %d bytes, %d retained", config.SnapshotEvery, config.SnapshotBytes, config.RetainedEntries)
	}
	if config.Timing.Tick != raft.DefaultTickInterval || config.WallClock == nil || config.Logger == nil || config.Lead == nil {
		t.Errorf("defaults are missing in %+v", config)
	}
}
