package admission

import (
	"testing"
	"time"
)

func TestRetrySchedule_SpreadsRetries(t *testing.T) {
	const length, maxWait = 100 * time.Millisecond, 2 * time.Second
	var returns RetrySchedule
	for number := range 100 {
		want := min(time.Second+time.Duration(number)*length, maxWait)
		if got := returns.Reserve(0, time.Second, length, maxWait); got != want {
			t.Fatalf("number %d is to come after %v, want %v", number, got, want)
		}
	}
	if got := returns.Reserve(1500*time.Millisecond, 0, length, maxWait); got != 500*time.Millisecond {
		t.Errorf("while others are still to come: %v", got)
	}
	if got := returns.Reserve(time.Minute, 300*time.Millisecond, length, maxWait); got != 300*time.Millisecond {
		t.Errorf("after all came: %v", got)
	}
}
