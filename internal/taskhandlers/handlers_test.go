package taskhandlers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/worker"
)

// runHandler runs a handler with the given run number, and returns how long it took.
func runHandler(ctx context.Context, t *testing.T, name, payload string, number uint32) (time.Duration, error) {
	t.Helper()
	task := worker.Task{
		RunRef: api.RunRef{Task: "j/s/0", Run: number},
		Spec:   api.TaskSpec{Payload: json.RawMessage(payload)},
	}
	began := time.Now()
	err := Handlers()[name](ctx, task)
	return time.Since(began), err
}

func TestHandlers_DurationAndOutcome(t *testing.T) {
	cases := []struct {
		name, payload string
		run           uint32
		took          time.Duration
		fails         bool
	}{
		{Sleep, `{"millis":50}`, 1, 50 * time.Millisecond, false},
		{Sleep, `{"millis":"x"}`, 1, 0, true},
		{Sleep, ``, 1, 0, false},
		{Fail, `{"millis":50}`, 9, 50 * time.Millisecond, true},
		{Flaky, `{"failures":2}`, 2, 0, true},
		{Flaky, `{"failures":2}`, 3, 0, false},
		{Flaky, `{"probability":1}`, 3, 0, true},
		{Slow, `{"millis":50}`, 1, 250 * time.Millisecond, false},
		{Slow, `{"millis":50,"factor":2}`, 1, 100 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s run %d", c.name, c.payload, c.run), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took, err := runHandler(t.Context(), t, c.name, c.payload, c.run)
				if took != c.took || (err != nil) != c.fails {
					t.Errorf("got duration %v, error %v, want %v, failure %v", took, err, c.took, c.fails)
				}
			})
		})
	}
}

func TestHandlers_StoppedHandlerReturnsCause(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(worker.ErrStopped)
	if _, err := runHandler(ctx, t, Sleep, `{"millis":100000}`, 1); !errors.Is(err, worker.ErrStopped) {
		t.Fatal(err)
	}
}

func TestHandlers_ResumableHandlerContinuesFromCheckpoint(t *testing.T) {
	cases := []struct {
		checkpoint string
		took       time.Duration
	}{
		{"", 1050 * time.Millisecond},
		{"700", 350 * time.Millisecond},
		{"1050", 0},
		{"malformed", 1050 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run("checkpoint "+c.checkpoint, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				task := worker.Task{Spec: api.TaskSpec{Payload: json.RawMessage(`{"millis":1050}`), Resumable: true}, Checkpoint: c.checkpoint}
				began := time.Now()
				if err := Handlers()[Sleep](t.Context(), task); err != nil || time.Since(began) != c.took {
					t.Errorf("got duration %v, error %v, want %v", time.Since(began), err, c.took)
				}
			})
		})
	}
}

func TestServices_MapsEntriesToHandlers(t *testing.T) {
	services, err := Services([]string{"sleep", "swap=sleep", "charge=flaky"})
	if err != nil || len(services) != 3 || services["swap"] == nil || services["charge"] == nil {
		t.Fatalf("got services %v, error %v, want sleep, swap and charge", services, err)
	}
	for _, wrong := range []string{"nope", "swap=nope", "=sleep", ""} {
		if _, err := Services([]string{wrong}); err == nil {
			t.Errorf("entry %q was accepted, want an error", wrong)
		}
	}
	if _, err := Services([]string{"sleep", "sleep=fail"}); err == nil {
		t.Error("a service listed twice was accepted, want an error")
	}
}
