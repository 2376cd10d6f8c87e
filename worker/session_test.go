package worker

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
)

const testLease = 3 * time.Second

func ref(task string, run uint32) api.RunRef { return api.RunRef{Task: task, Run: run} }

func order(task string, run uint32) api.StartOrder {
	return api.StartOrder{RunRef: ref(task, run), Spec: api.TaskSpec{Service: "sleep"}}
}

func testSession() *session {
	return newSession(identity{WorkerID: "id", Name: "w", Services: []string{"sleep"}})
}

func answerTo(heartbeat api.Heartbeat, token uint64, start ...api.StartOrder) api.HeartbeatAnswer {
	return api.HeartbeatAnswer{Seq: heartbeat.Seq, Token: token, HoldMillis: testLease.Milliseconds(), IntervalMillis: 200, Start: start}
}

// deliver makes a heartbeat at the time now and accepts its answer at the same
// time.
func deliver(t *testing.T, s *session, now time.Duration, token uint64, start ...api.StartOrder) actions {
	t.Helper()
	todo, err := s.accept(now, answerTo(s.nextHeartbeat(now), token, start...))
	if err != nil {
		t.Fatalf("accept: %v", err)
	}
	return todo
}

func TestSession_RejectedAnswerChangesNothing(t *testing.T) {
	cases := []struct {
		name   string
		now    time.Duration // the answered heartbeat was sent at 1s
		change func(*session, *api.HeartbeatAnswer)
		want   error
	}{
		{"on time", 2 * time.Second, func(*session, *api.HeartbeatAnswer) {}, nil},
		{"answer to the previous heartbeat", 2 * time.Second, func(s *session, _ *api.HeartbeatAnswer) { s.nextHeartbeat(1500 * time.Millisecond) }, errStaleSeq},
		{"answer to an abandoned heartbeat", 2 * time.Second, func(s *session, _ *api.HeartbeatAnswer) { s.abandonHeartbeat() }, errStaleSeq},
		{"answer to a heartbeat never sent", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.Seq++ }, errStaleSeq},
		{"lower token", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.Token = 4 }, errStaleToken},
		{"just before its lease expires", time.Second + testLease - 1, func(*session, *api.HeartbeatAnswer) {}, nil},
		{"when its lease expires", time.Second + testLease, func(*session, *api.HeartbeatAnswer) {}, errLateAnswer},
		{"process suspended for 25 s", 26 * time.Second, func(*session, *api.HeartbeatAnswer) {}, errLateAnswer},
		{"no lease", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.HoldMillis = 0 }, errInvalidLease},
		{"lease too long", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.HoldMillis = 1 << 60 }, errInvalidLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSession()
			deliver(t, s, 500*time.Millisecond, 5, order("j/s/0", 1), order("j/s/1", 1))
			s.endRun(api.EndedRun{RunRef: ref("j/s/1", 1), Outcome: api.OutcomeSucceeded})
			answer := answerTo(s.nextHeartbeat(time.Second), 6, order("j/s/2", 1))
			answer.Stop = []api.RunRef{ref("j/s/0", 1)}
			answer.Acknowledged = []api.RunRef{ref("j/s/1", 1)}
			c.change(s, &answer)
			todo, err := s.accept(c.now, answer)
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
			if c.want == nil {
				if len(todo.start) != 1 || len(todo.stop) != 1 || len(s.ended) != 0 || s.token != 6 || s.acceptedSeq != 2 || s.leaseExpiry != time.Second+testLease {
					t.Fatalf("accepted answer: got actions %+v and session %+v, want all of the answer applied", todo, s)
				}
				return
			}
			if len(todo.start)+len(todo.stop)+len(todo.rejected) != 0 || len(s.running) != 1 || len(s.ended) != 1 {
				t.Fatalf("rejected answer: got actions %+v, want none and the runs unchanged", todo)
			}
			if s.token != 5 || s.acceptedSeq != 1 || s.leaseExpiry != 500*time.Millisecond+testLease {
				t.Fatalf("rejected answer: got session %+v, want token, accepted seq and lease expiry unchanged", s)
			}
		})
	}
}

func TestSession_RepeatedAnswerStartsOnce(t *testing.T) {
	s := testSession()
	answer := answerTo(s.nextHeartbeat(0), 1, order("j/s/0", 1))
	if todo, err := s.accept(1, answer); err != nil || len(todo.start) != 1 {
		t.Fatalf("first answer: got %+v, error %v, want one start", todo, err)
	}
	if todo, err := s.accept(2, answer); !errors.Is(err, errStaleSeq) || len(todo.start) != 0 {
		t.Fatalf("repeated answer: got %+v, error %v, want errStaleSeq and no start", todo, err)
	}
}

func TestSession_OrderIsStartedOrRejected(t *testing.T) {
	const task = "j/s/0"
	stopped := api.OutcomeStopped
	cases := []struct {
		name      string
		prepare   func(*session)
		order     api.StartOrder
		started   bool
		stops     []api.RunRef
		duplicate bool
		ended     api.Outcome // outcome in the report of the ordered run, empty without a report
	}{
		{"new", func(*session) {}, order(task, 1), true, nil, false, ""},
		{"run already open", func(s *session) { s.running[ref(task, 1)] = &openRun{} }, order(task, 1), false, nil, true, ""},
		{"ended, not acknowledged", func(s *session) {
			s.ended[ref(task, 1)] = api.EndedRun{RunRef: ref(task, 1), Outcome: api.OutcomeFailed}
		}, order(task, 1), false, nil, true, api.OutcomeFailed},
		{"older run open: stopped, new run rejected", func(s *session) { s.running[ref(task, 1)] = &openRun{} }, order(task, 2), false, []api.RunRef{ref(task, 1)}, false, stopped},
		{"older run stopping: new run rejected", func(s *session) { s.running[ref(task, 1)] = &openRun{stopping: true} }, order(task, 2), false, nil, false, stopped},
		{"newer run open: left running, order rejected", func(s *session) { s.running[ref(task, 3)] = &openRun{} }, order(task, 2), false, nil, false, stopped},
		{"run of another task open", func(s *session) { s.running[ref("j/s/1", 1)] = &openRun{} }, order(task, 1), true, nil, false, ""},
		{"earlier run succeeded, not acknowledged", func(s *session) {
			s.ended[ref(task, 1)] = api.EndedRun{RunRef: ref(task, 1), Outcome: api.OutcomeSucceeded}
		}, order(task, 2), false, nil, false, stopped},
		{"earlier run failed, not acknowledged", func(s *session) {
			s.ended[ref(task, 1)] = api.EndedRun{RunRef: ref(task, 1), Outcome: api.OutcomeFailed}
		}, order(task, 2), true, nil, false, ""},
		{"draining", func(s *session) { s.drain() }, order(task, 1), false, nil, false, stopped},
		{"a handler runs after the lease expired", func(s *session) { s.running[ref("j/s/1", 1)] = &openRun{leaseExpired: true} }, order(task, 1), false, nil, false, stopped},
		{"unknown service", func(*session) {}, api.StartOrder{RunRef: ref(task, 1), Spec: api.TaskSpec{Service: "nope"}}, false, nil, false, api.OutcomeFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSession()
			c.prepare(s)
			todo := deliver(t, s, 0, 1, c.order)
			if got := len(todo.start) == 1; got != c.started {
				t.Errorf("started: got %v, want %v", got, c.started)
			}
			if diff := cmp.Diff(c.stops, todo.stop); diff != "" {
				t.Errorf("stopped runs (-want +got):\n%s", diff)
			}
			if got := len(todo.duplicates) == 1; got != c.duplicate {
				t.Errorf("duplicate: got %v, want %v", got, c.duplicate)
			}
			if got := s.ended[c.order.RunRef].Outcome; got != c.ended {
				t.Errorf("reported outcome: got %q, want %q", got, c.ended)
			}
			if c.started && !cmp.Equal(s.nextHeartbeat(1).Running[0], c.order.RunRef) && len(s.running) == 1 {
				t.Error("the started run is not listed as running in the next heartbeat")
			}
		})
	}
}

func TestSession_DuplicateOrderInOneAnswerStartsOnce(t *testing.T) {
	s := testSession()
	todo := deliver(t, s, 0, 1, order("j/s/0", 1), order("j/s/0", 1), order("j/s/0", 2))
	if len(todo.start) != 1 || len(todo.duplicates) != 1 || len(todo.rejected) != 1 {
		t.Fatalf("got %+v, want one start, one duplicate, one rejected", todo)
	}
}

func TestSession_StopAndStartInOneAnswerStartsNothing(t *testing.T) {
	s := testSession()
	answer := answerTo(s.nextHeartbeat(0), 1, order("j/s/0", 1))
	answer.Stop = []api.RunRef{ref("j/s/0", 1)}
	todo, err := s.accept(0, answer)
	if err != nil || len(todo.start) != 0 || s.ended[ref("j/s/0", 1)].Outcome != api.OutcomeStopped {
		t.Fatalf("got %+v, error %v, want no start and the run reported as stopped", todo, err)
	}
}

func TestSession_EndedRunIsReportedUntilAcknowledged(t *testing.T) {
	s := testSession()
	deliver(t, s, 0, 1, order("j/s/0", 1))
	run := api.EndedRun{RunRef: ref("j/s/0", 1), Outcome: api.OutcomeSucceeded}
	s.endRun(run)
	s.endRun(api.EndedRun{RunRef: run.RunRef, Outcome: api.OutcomeFailed}) // the first report stays
	for i := range 3 {
		heartbeat := s.nextHeartbeat(time.Duration(i))
		if diff := cmp.Diff([]api.EndedRun{run}, heartbeat.Ended); diff != "" || len(heartbeat.Running) != 0 {
			t.Fatalf("heartbeat %d: want no running run and these ended runs (-want +got):\n%s", i, diff)
		}
		s.abandonHeartbeat()
	}
	answer := answerTo(s.nextHeartbeat(10), 1)
	answer.Acknowledged = []api.RunRef{run.RunRef}
	if _, err := s.accept(10, answer); err != nil {
		t.Fatal(err)
	}
	if got := s.nextHeartbeat(11).Ended; len(got) != 0 {
		t.Fatalf("reports after the acknowledgement: got %v, want none", got)
	}
}

func TestSession_RepeatedStopCancelsOnceAndRunStaysListed(t *testing.T) {
	s := testSession()
	deliver(t, s, 0, 1, order("j/s/0", 1))
	for i, want := range []int{1, 0, 0} {
		heartbeat := s.nextHeartbeat(time.Duration(i))
		answer := answerTo(heartbeat, 1)
		answer.Stop = []api.RunRef{ref("j/s/0", 1), ref("unknown/s/0", 1)}
		todo, err := s.accept(time.Duration(i), answer)
		if err != nil || len(todo.stop) != want || len(heartbeat.Running) != 1 {
			t.Fatalf("answer %d: got %+v, error %v, want the run stopped by the first answer only and listed as running", i, todo, err)
		}
	}
}

func TestSession_LeaseExpiryStopsAllRuns(t *testing.T) {
	s := testSession()
	deliver(t, s, time.Second, 1, order("j/s/0", 1), order("j/s/1", 1))
	if stop := s.expireLease(time.Second + testLease - 1); stop != nil {
		t.Fatalf("1 ns before the lease expires: got %v stopped, want none", stop)
	}
	if stop := s.expireLease(25 * time.Second); len(stop) != 2 {
		t.Fatalf("after the lease expired: got %v stopped, want both runs", stop)
	}
	if stop := s.expireLease(26 * time.Second); stop != nil {
		t.Fatalf("second call after the lease expired: got %v stopped, want none", stop)
	}
	heartbeat := s.nextHeartbeat(26 * time.Second)
	if !heartbeat.Draining || len(heartbeat.Running) != 2 {
		t.Fatalf("got %+v, want draining and both open runs listed", heartbeat)
	}
	s.endRun(api.EndedRun{RunRef: ref("j/s/0", 1), Outcome: api.OutcomeStopped})
	s.endRun(api.EndedRun{RunRef: ref("j/s/1", 1), Outcome: api.OutcomeStopped})
	if todo := deliver(t, s, 27*time.Second, 1, order("j/s/0", 2)); len(todo.start) != 1 || s.nextHeartbeat(28*time.Second).Draining {
		t.Fatalf("after both handlers returned: got %+v, want one start and draining false", todo)
	}
}

func TestEndedRunOf_OutcomeFollowsErrorAndCause(t *testing.T) {
	failure := errors.New("broken")
	cases := []struct {
		name          string
		result, cause error
		want          api.Outcome
		message       string
	}{
		{"done", nil, nil, api.OutcomeSucceeded, ""},
		{"done after a stop request", nil, ErrStopped, api.OutcomeSucceeded, ""},
		{"failed", failure, nil, api.OutcomeFailed, "broken"},
		{"stopped", context.Canceled, ErrStopped, api.OutcomeStopped, ErrStopped.Error()},
		{"lease expired", context.Canceled, ErrHoldLapsed, api.OutcomeStopped, ErrHoldLapsed.Error()},
		{"handler returns ErrHoldLapsed", ErrHoldLapsed, nil, api.OutcomeStopped, ErrHoldLapsed.Error()},
		{"maximum duration exceeded", context.Canceled, ErrMaxDuration, api.OutcomeFailed, "max_duration exceeded"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := endedRunOf(ref("j/s/0", 1), c.result, c.cause)
			if got.Outcome != c.want || got.Message != c.message {
				t.Fatalf("got %+v, want %s %q", got, c.want, c.message)
			}
		})
	}
	long := endedRunOf(ref("j/s/0", 1), errors.New(strings.Repeat("é", 2000)+"\xff"), nil).Message
	if len(long) > maxMessageBytes || !utf8.ValidString(long) {
		t.Fatalf("truncated message: got %d bytes, want valid UTF-8 of at most maxMessageBytes", len(long))
	}
}
