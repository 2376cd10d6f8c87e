package admission

import (
	"testing"
	"time"
)

func TestRetrySchedule_SpreadsRetries(t *testing.T) {
	const length, maxWait = 100 * time.Millisecond, 2 * time.Second
	var schedule RetrySchedule
	for number := range 100 {
		want := min(time.Second+time.Duration(number)*length, maxWait)
		if got := schedule.Reserve(0, time.Second, length, maxWait); got != want {
			t.Fatalf("retry %d is after %v, want %v", number, got, want)
		}
	}
	if got := schedule.Reserve(1500*time.Millisecond, 0, length, maxWait); got != 500*time.Millisecond {
		t.Errorf("while other retries are reserved: %v", got)
	}
	if got := schedule.Reserve(time.Minute, 300*time.Millisecond, length, maxWait); got != 300*time.Millisecond {
		t.Errorf("after all retries came: %v", got)
	}
}
