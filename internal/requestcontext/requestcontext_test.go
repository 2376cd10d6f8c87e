package requestcontext

import (
	"context"
	"testing"
	"time"
)

func TestCallerGone_TellsStopFromDeparture(t *testing.T) {
	process, stop := context.WithCancelCause(context.Background())
	request, leave := context.WithCancel(process)
	defer leave()
	limited, release := context.WithTimeout(request, time.Hour)
	defer release()
	if CallerGone(limited) {
		t.Error("open request: got a caller that has gone, want one that waits")
	}
	departed, depart := context.WithCancel(process)
	depart()
	overdue, cancel := context.WithTimeout(process, 0)
	defer cancel()
	for name, ctx := range map[string]context.Context{"connection closed": departed, "deadline over": overdue} {
		if !CallerGone(ctx) {
			t.Errorf("%s: got a caller that waits, want one that has gone", name)
		}
	}
	stop(ErrStopping)
	if limited.Err() == nil || CallerGone(limited) {
		t.Errorf("process stopping: got context error %v and a caller that has gone, want an ended context and a caller that waits", limited.Err())
	}
}
