package admission

import (
	"testing"
	"time"
)

func TestReturnsComeOneAfterAnother(t *testing.T) {
	const length, most = 100 * time.Millisecond, 2 * time.Second
	var returns Returns
	for number := range 100 {
		want := min(time.Second+time.Duration(number)*length, most)
		if got := returns.Book(0, time.Second, length, most); got != want {
			t.Fatalf("number %d is to come after %v, want %v", number, got, want)
		}
	}
	if got := returns.Book(1500*time.Millisecond, 0, length, most); got != 500*time.Millisecond {
		t.Errorf("while others are still to come: %v", got)
	}
	if got := returns.Book(time.Minute, 300*time.Millisecond, length, most); got != 300*time.Millisecond {
		t.Errorf("after all came: %v", got)
	}
}
