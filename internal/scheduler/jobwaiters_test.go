package scheduler

import (
	"testing"
)

func TestJobWaiters_EndOfJobWakesItsWaitersOnly(t *testing.T) {
	waiters := make(jobWaiters)
	ended, other := waiters.wait("ended"), waiters.wait("other")
	if waiters.wait("ended") != ended {
		t.Error("got two channels for one job, want the same")
	}
	waiters.jobEnded("ended")
	waiters.jobEnded("unknown")
	select {
	case <-ended:
	default:
		t.Error("channel of the ended job: got open, want closed")
	}
	select {
	case <-other:
		t.Error("channel of another job: got closed, want open")
	default:
	}
	if len(waiters) != 1 {
		t.Errorf("got channels of %d jobs, want 1", len(waiters))
	}
}
