package scenario

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestEachScenarioIsFoundByItsName(t *testing.T) {
	seen := map[string]bool{}
	for _, one := range All() {
		if seen[one.Name] || one.Summary == "" || one.Run == nil {
			t.Errorf("%q is doubled or has no summary or course", one.Name)
		}
		seen[one.Name] = true
		if found, err := Find(one.Name); err != nil || found.Name != one.Name {
			t.Errorf("%q is found as %q, %v", one.Name, found.Name, err)
		}
	}
	if _, err := Find("nonsense"); err == nil {
		t.Error("an unknown scenario was found")
	}
}

func TestPauseEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := pause(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("pause returned %v", err)
	}
}
