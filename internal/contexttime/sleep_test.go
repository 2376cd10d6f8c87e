package contexttime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep_WaitsForLengthOrContext(t *testing.T) {
	cases := []struct {
		name             string
		length, deadline time.Duration
		passed           bool
		took             time.Duration
	}{
		{"length is earlier", time.Second, time.Hour, true, time.Second},
		{"context is earlier", time.Hour, time.Second, false, time.Second},
		{"no length", 0, time.Hour, true, 0},
		{"negative length", -time.Second, time.Hour, true, 0},
		{"context has ended", time.Second, 0, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				began := time.Now()
				if passed := Sleep(ctx, c.length); passed != c.passed {
					t.Errorf("passed is %v, want %v", passed, c.passed)
				}
				if took := time.Since(began); took != c.took {
					t.Errorf("took %v, want %v", took, c.took)
				}
			})
		})
	}
}
