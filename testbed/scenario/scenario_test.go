package scenario

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestFind_ReturnsEachScenarioByName(t *testing.T) {
	seen := map[string]bool{}
	for _, listed := range All() {
		if seen[listed.Name] || listed.Summary == "" || listed.Run == nil {
			t.Errorf("scenario %q has a repeated name, no summary or no Run function", listed.Name)
		}
		seen[listed.Name] = true
		if found, err := Find(listed.Name); err != nil || found.Name != listed.Name {
			t.Errorf("find %q: got %q, error %v", listed.Name, found.Name, err)
		}
	}
	if _, err := Find("nonsense"); err == nil {
		t.Error("got no error for an unknown scenario")
	}
}

func TestSleep_EndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v from sleep, want context.Canceled", err)
	}
}
