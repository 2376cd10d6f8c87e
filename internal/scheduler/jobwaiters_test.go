package scheduler

import (
	"testing"
)

func TestJobWaiters_EndOfJobWakesItsWaitersOnly(t *testing.T) {
	waiters := make(jobWaiters)
	ended, other := waiters.wait("ended"), waiters.wait("other")
	if waiters.wait("ended") != ended {
		t.Error("two channels for one job")
	}
	waiters.jobEnded("ended")
	waiters.jobEnded("unknown")
	select {
	case <-ended:
	default:
		t.Error("the waiter of the job was not woken")
	}
	select {
	case <-other:
		t.Error("the waiter of another job was woken")
	default:
	}
	if len(waiters) != 1 {
		t.Errorf("%d jobs are waited for, want 1", len(waiters))
	}
}
