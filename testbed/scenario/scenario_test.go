package scenario

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestFind_EachScenarioByName(t *testing.T) {
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

func TestSleep_EndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("pause returned %v", err)
	}
}
