package contexttime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep_WaitsForDurationOrContext(t *testing.T) {
	cases := []struct {
		name               string
		duration, deadline time.Duration
		completed          bool
		took               time.Duration
	}{
		{"duration ends first", time.Second, time.Hour, true, time.Second},
		{"context ends first", time.Hour, time.Second, false, time.Second},
		{"zero duration", 0, time.Hour, true, 0},
		{"negative duration", -time.Second, time.Hour, true, 0},
		{"context ended before", time.Second, 0, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				began := time.Now()
				if completed := Sleep(ctx, c.duration); completed != c.completed {
					t.Errorf("got completed %v, want %v", completed, c.completed)
				}
				if took := time.Since(began); took != c.took {
					t.Errorf("got a wait of %v, want %v", took, c.took)
				}
			})
		})
	}
}
