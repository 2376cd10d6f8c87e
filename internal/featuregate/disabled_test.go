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
		t.Errorf("got features %v, error %v, want LoadDeference and Headroom only", disabled.Features(), err)
	}
	if disabled, err := Parse(nil); err != nil || len(disabled.Features()) != 0 {
		t.Errorf("no names: got features %v, error %v, want none", disabled.Features(), err)
	}
	_, err = Parse([]string{"yields", "lease"})
	if err == nil || !strings.Contains(err.Error(), `"lease"`) || !strings.Contains(err.Error(), string(BackfillReservation)) {
		t.Errorf("unknown name: got error %v, want one with the unknown name and the known names", err)
	}
	var unknown *UnknownFeatureError
	if !errors.As(err, &unknown) || unknown.Name != "lease" {
		t.Errorf("got error %v, want an UnknownFeatureError with the name lease", err)
	}
}

// Guarantees depend on leases, tokens, syncs and the ready gate, so no feature that can
// be disabled may be named after one of them.
func TestAll_NamesNoSafetyMechanism(t *testing.T) {
	seen := map[Feature]bool{}
	for _, feature := range All() {
		if seen[feature] {
			t.Errorf("%s is listed twice", feature)
		}
		seen[feature] = true
		for _, word := range []string{"hold", "lease", "token", "sync", "gate", "fence", "drain", "budget"} {
			if strings.Contains(string(feature), word) {
				t.Errorf("got feature %s, want no feature that disables a safety mechanism", feature)
			}
		}
	}
}

// The names are part of the setting experiment.off and must not change.
func TestAll_SettingNamesUnchanged(t *testing.T) {
	want := []Feature{
		"objective_tiers", "yields", "locality_wait", "stall_tracking", "slow_tracking", "sibling_pace",
		"suspicion", "avoidance", "withdrawal", "doubt", "preemption", "heartbeat_widening",
		"headroom", "kept_room", "last_room", "preferred_share", "step_share", "home_domain",
	}
	if got := All(); !slices.Equal(got, want) {
		t.Errorf("got names %v, want %v", got, want)
	}
}
