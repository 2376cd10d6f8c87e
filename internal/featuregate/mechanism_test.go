package featuregate

import (
	"strings"
	"testing"
)

func TestParse_AcceptsKnownFeaturesOnly(t *testing.T) {
	disabled, err := Parse([]string{"yields", "headroom"})
	if err != nil || !disabled.Has(LoadDeference) || !disabled.Has(Headroom) || disabled.Has(BackfillReservation) || len(disabled.Features()) != 2 {
		t.Errorf("parsed %v, %v", disabled.Features(), err)
	}
	if disabled, err := Parse(nil); err != nil || len(disabled.Features()) != 0 {
		t.Errorf("of none: %v, %v", disabled.Features(), err)
	}
	_, err = Parse([]string{"yields", "lease"})
	if err == nil || !strings.Contains(err.Error(), `"lease"`) || !strings.Contains(err.Error(), string(BackfillReservation)) {
		t.Errorf("of an unknown one: %v, want its name and those that there are", err)
	}
}

// TestAll_NamesNoSafetyMechanism: no switch names a hold, a lease, a token, a
// sync or the ready gate.
func TestAll_NamesNoSafetyMechanism(t *testing.T) {
	seen := map[Feature]bool{}
	for _, name := range All() {
		if seen[name] {
			t.Errorf("%s is listed twice", name)
		}
		seen[name] = true
		for _, word := range []string{"hold", "lease", "token", "sync", "gate", "fence", "drain", "budget"} {
			if strings.Contains(string(name), word) {
				t.Errorf("%s can be switched off", name)
			}
		}
	}
}
