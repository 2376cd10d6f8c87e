package featuregate

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestParse_AcceptsKnownFeaturesOnly(t *testing.T) {
	disabled, err := Parse([]string{"yields", "headroom"})
	if err != nil || !disabled.Has(LoadDeference) || !disabled.Has(Headroom) || disabled.Has(BackfillReservation) || len(disabled.Features()) != 2 {
		t.Errorf("parsed %v, %v", disabled.Features(), err)
	}
	if disabled, err := Parse(nil); err != nil || len(disabled.Features()) != 0 {
		t.Errorf("parsed no names: %v, %v", disabled.Features(), err)
	}
	_, err = Parse([]string{"yields", "lease"})
	if err == nil || !strings.Contains(err.Error(), `"lease"`) || !strings.Contains(err.Error(), string(BackfillReservation)) {
		t.Errorf("parsed an unknown name: %v, want its name and those that there are", err)
	}
	var unknown *UnknownFeatureError
	if !errors.As(err, &unknown) || unknown.Name != "lease" {
		t.Errorf("error %v, want an UnknownFeatureError of the name", err)
	}
}

// TestAll_NamesNoSafetyMechanism: no feature names a lease, a token, a sync or the ready
// gate, on which guarantees rest.
func TestAll_NamesNoSafetyMechanism(t *testing.T) {
	seen := map[Feature]bool{}
	for _, feature := range All() {
		if seen[feature] {
			t.Errorf("%s is listed twice", feature)
		}
		seen[feature] = true
		for _, word := range []string{"hold", "lease", "token", "sync", "gate", "fence", "drain", "budget"} {
			if strings.Contains(string(feature), word) {
				t.Errorf("%s can be disabled", feature)
			}
		}
	}
}

// TestAll_NamesOfSettingsStay: the names are part of the setting experiment.off.
func TestAll_NamesOfSettingsStay(t *testing.T) {
	want := []Feature{
		"objective_tiers", "yields", "locality_wait", "stall_tracking", "slow_tracking", "sibling_pace",
		"suspicion", "avoidance", "withdrawal", "doubt", "preemption", "heartbeat_widening",
		"headroom", "kept_room", "last_room", "preferred_share", "step_share", "home_domain",
	}
	if got := All(); !slices.Equal(got, want) {
		t.Errorf("names %v, want %v", got, want)
	}
}
