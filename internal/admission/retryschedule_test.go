package admission

import (
	"testing"
	"time"
)

func TestRetrySchedule_SpreadsRetries(t *testing.T) {
	const startDuration, maxWait = 100 * time.Millisecond, 2 * time.Second
	var schedule RetrySchedule
	for number := range 100 {
		want := min(time.Second+time.Duration(number)*startDuration, maxWait)
		if got := schedule.Reserve(0, time.Second, startDuration, maxWait); got != want {
			t.Fatalf("retry %d: got a wait of %v, want %v", number, got, want)
		}
	}
	if got := schedule.Reserve(1500*time.Millisecond, 0, startDuration, maxWait); got != 500*time.Millisecond {
		t.Errorf("Reserve while other retries are reserved: got %v, want 500ms", got)
	}
	if got := schedule.Reserve(time.Minute, 300*time.Millisecond, startDuration, maxWait); got != 300*time.Millisecond {
		t.Errorf("Reserve after the time of all reserved retries: got %v, want 300ms", got)
	}
}
