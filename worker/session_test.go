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

// deliver sends a heartbeat at a time and accepts its answer at once.
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
		{"crossed: to the heartbeat before", 2 * time.Second, func(s *session, _ *api.HeartbeatAnswer) { s.nextHeartbeat(1500 * time.Millisecond) }, errStaleSeq},
		{"to a heartbeat given up", 2 * time.Second, func(s *session, _ *api.HeartbeatAnswer) { s.abandonHeartbeat() }, errStaleSeq},
		{"to a heartbeat never sent", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.Seq++ }, errStaleSeq},
		{"lower token", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.Token = 4 }, errStaleToken},
		{"just before its hold lapses", time.Second + testLease - 1, func(*session, *api.HeartbeatAnswer) {}, nil},
		{"when its hold lapses", time.Second + testLease, func(*session, *api.HeartbeatAnswer) {}, errLateAnswer},
		{"frozen for 25 s and woken", 26 * time.Second, func(*session, *api.HeartbeatAnswer) {}, errLateAnswer},
		{"no hold", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.HoldMillis = 0 }, errInvalidLease},
		{"absurd hold", 2 * time.Second, func(_ *session, a *api.HeartbeatAnswer) { a.HoldMillis = 1 << 60 }, errInvalidLease},
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
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if c.want == nil {
				if len(todo.start) != 1 || len(todo.stop) != 1 || len(s.ended) != 0 || s.token != 6 || s.acceptedSeq != 2 || s.leaseExpiry != time.Second+testLease {
					t.Fatalf("accepted answer not used whole: %+v, %+v", todo, s)
				}
				return
			}
			if len(todo.start)+len(todo.stop)+len(todo.rejected) != 0 || len(s.running) != 1 || len(s.ended) != 1 {
				t.Fatalf("refused answer was used: %+v", todo)
			}
			if s.token != 5 || s.acceptedSeq != 1 || s.leaseExpiry != 500*time.Millisecond+testLease {
				t.Fatalf("refused answer moved token, seq or hold: %+v", s)
			}
		})
	}
}

func TestSession_RepeatedAnswerStartsOnce(t *testing.T) {
	s := testSession()
	answer := answerTo(s.nextHeartbeat(0), 1, order("j/s/0", 1))
	if todo, err := s.accept(1, answer); err != nil || len(todo.start) != 1 {
		t.Fatalf("first: %+v, %v", todo, err)
	}
	if todo, err := s.accept(2, answer); !errors.Is(err, errStaleSeq) || len(todo.start) != 0 {
		t.Fatalf("second: %+v, %v", todo, err)
	}
}

func TestSession_OrderIsStartedOrRejected(t *testing.T) {
	const task = "j/s/0"
	stopped := api.OutcomeStopped
	cases := []struct {
		name    string
		prepare func(*session)
		order   api.StartOrder
		started bool
		stops   []api.RunRef
		doubled bool
		ended   api.Outcome // reported of the ordered run; "" if none
	}{
		{"new", func(*session) {}, order(task, 1), true, nil, false, ""},
		{"twice in one answer", func(s *session) { s.running[ref(task, 1)] = &openRun{} }, order(task, 1), false, nil, true, ""},
		{"ended, not acknowledged", func(s *session) {
			s.ended[ref(task, 1)] = api.EndedRun{RunRef: ref(task, 1), Outcome: api.OutcomeFailed}
		}, order(task, 1), false, nil, true, api.OutcomeFailed},
		{"older run open: stop it, refuse the new", func(s *session) { s.running[ref(task, 1)] = &openRun{} }, order(task, 2), false, []api.RunRef{ref(task, 1)}, false, stopped},
		{"older run stopping: refuse", func(s *session) { s.running[ref(task, 1)] = &openRun{stopping: true} }, order(task, 2), false, nil, false, stopped},
		{"newer run open: refuse and leave it", func(s *session) { s.running[ref(task, 3)] = &openRun{} }, order(task, 2), false, nil, false, stopped},
		{"other task's run open", func(s *session) { s.running[ref("j/s/1", 1)] = &openRun{} }, order(task, 1), true, nil, false, ""},
		{"earlier run succeeded, not acknowledged", func(s *session) {
			s.ended[ref(task, 1)] = api.EndedRun{RunRef: ref(task, 1), Outcome: api.OutcomeSucceeded}
		}, order(task, 2), false, nil, false, stopped},
		{"earlier run failed, not acknowledged", func(s *session) {
			s.ended[ref(task, 1)] = api.EndedRun{RunRef: ref(task, 1), Outcome: api.OutcomeFailed}
		}, order(task, 2), true, nil, false, ""},
		{"draining", func(s *session) { s.drain() }, order(task, 1), false, nil, false, stopped},
		{"a handler outlives its hold", func(s *session) { s.running[ref("j/s/1", 1)] = &openRun{leaseExpired: true} }, order(task, 1), false, nil, false, stopped},
		{"unknown service", func(*session) {}, api.StartOrder{RunRef: ref(task, 1), Spec: api.TaskSpec{Service: "nope"}}, false, nil, false, api.OutcomeFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSession()
			c.prepare(s)
			todo := deliver(t, s, 0, 1, c.order)
			if got := len(todo.start) == 1; got != c.started {
				t.Errorf("started %v, want %v", got, c.started)
			}
			if diff := cmp.Diff(c.stops, todo.stop); diff != "" {
				t.Errorf("stops: %s", diff)
			}
			if got := len(todo.duplicates) == 1; got != c.doubled {
				t.Errorf("doubled %v, want %v", got, c.doubled)
			}
			if got := s.ended[c.order.RunRef].Outcome; got != c.ended {
				t.Errorf("reported %q, want %q", got, c.ended)
			}
			if c.started && !cmp.Equal(s.nextHeartbeat(1).Running[0], c.order.RunRef) && len(s.running) == 1 {
				t.Error("a started run is not listed")
			}
		})
	}
}

func TestSession_DuplicateOrderInOneAnswerStartsOnce(t *testing.T) {
	s := testSession()
	todo := deliver(t, s, 0, 1, order("j/s/0", 1), order("j/s/0", 1), order("j/s/0", 2))
	if len(todo.start) != 1 || len(todo.duplicates) != 1 || len(todo.rejected) != 1 {
		t.Fatalf("%+v, want one start, one doubled, one refused", todo)
	}
}

func TestSession_StopAndStartInOneAnswerStartsNothing(t *testing.T) {
	s := testSession()
	answer := answerTo(s.nextHeartbeat(0), 1, order("j/s/0", 1))
	answer.Stop = []api.RunRef{ref("j/s/0", 1)}
	todo, err := s.accept(0, answer)
	if err != nil || len(todo.start) != 0 || s.ended[ref("j/s/0", 1)].Outcome != api.OutcomeStopped {
		t.Fatalf("%+v, %v", todo, err)
	}
}

func TestSession_EndedRunIsRepeatedUntilAcknowledged(t *testing.T) {
	s := testSession()
	deliver(t, s, 0, 1, order("j/s/0", 1))
	run := api.EndedRun{RunRef: ref("j/s/0", 1), Outcome: api.OutcomeSucceeded}
	s.endRun(run)
	s.endRun(api.EndedRun{RunRef: run.RunRef, Outcome: api.OutcomeFailed}) // cannot change it
	for i := range 3 {
		heartbeat := s.nextHeartbeat(time.Duration(i))
		if diff := cmp.Diff([]api.EndedRun{run}, heartbeat.Ended); diff != "" || len(heartbeat.Running) != 0 {
			t.Fatalf("heartbeat %d: %s", i, diff)
		}
		s.abandonHeartbeat()
	}
	answer := answerTo(s.nextHeartbeat(10), 1)
	answer.Acknowledged = []api.RunRef{run.RunRef}
	if _, err := s.accept(10, answer); err != nil {
		t.Fatal(err)
	}
	if got := s.nextHeartbeat(11).Ended; len(got) != 0 {
		t.Fatalf("still reported: %v", got)
	}
}

func TestSession_StopIsGivenOnceAndRunStaysListed(t *testing.T) {
	s := testSession()
	deliver(t, s, 0, 1, order("j/s/0", 1))
	for i, want := range []int{1, 0, 0} {
		heartbeat := s.nextHeartbeat(time.Duration(i))
		answer := answerTo(heartbeat, 1)
		answer.Stop = []api.RunRef{ref("j/s/0", 1), ref("unknown/s/0", 1)}
		todo, err := s.accept(time.Duration(i), answer)
		if err != nil || len(todo.stop) != want || len(heartbeat.Running) != 1 {
			t.Fatalf("answer %d: %+v, %v", i, todo, err)
		}
	}
}

func TestSession_LeaseExpiryStopsAllRuns(t *testing.T) {
	s := testSession()
	deliver(t, s, time.Second, 1, order("j/s/0", 1), order("j/s/1", 1))
	if stop := s.expireLease(time.Second + testLease - 1); stop != nil {
		t.Fatalf("stopped early: %v", stop)
	}
	if stop := s.expireLease(25 * time.Second); len(stop) != 2 {
		t.Fatalf("stopped %v, want both", stop)
	}
	if stop := s.expireLease(26 * time.Second); stop != nil {
		t.Fatalf("stopped twice: %v", stop)
	}
	heartbeat := s.nextHeartbeat(26 * time.Second)
	if !heartbeat.Draining || len(heartbeat.Running) != 2 {
		t.Fatalf("%+v must list handlers that go on, and take no work", heartbeat)
	}
	s.endRun(api.EndedRun{RunRef: ref("j/s/0", 1), Outcome: api.OutcomeStopped})
	s.endRun(api.EndedRun{RunRef: ref("j/s/1", 1), Outcome: api.OutcomeStopped})
	if todo := deliver(t, s, 27*time.Second, 1, order("j/s/0", 2)); len(todo.start) != 1 || s.nextHeartbeat(28*time.Second).Draining {
		t.Fatalf("not ready again: %+v", todo)
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
		{"done although told to stop", nil, ErrStopped, api.OutcomeSucceeded, ""},
		{"failed", failure, nil, api.OutcomeFailed, "broken"},
		{"stopped", context.Canceled, ErrStopped, api.OutcomeStopped, ErrStopped.Error()},
		{"hold lapsed", context.Canceled, ErrHoldLapsed, api.OutcomeStopped, ErrHoldLapsed.Error()},
		{"hold found lapsed by the handler", ErrHoldLapsed, nil, api.OutcomeStopped, ErrHoldLapsed.Error()},
		{"too long", context.Canceled, ErrMaxDuration, api.OutcomeFailed, "max_duration exceeded"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := endedRunOf(ref("j/s/0", 1), c.result, c.cause)
			if got.Outcome != c.want || got.Message != c.message {
				t.Fatalf("%+v, want %s %q", got, c.want, c.message)
			}
		})
	}
	long := endedRunOf(ref("j/s/0", 1), errors.New(strings.Repeat("é", 2000)+"\xff"), nil).Message
	if len(long) > maxMessageBytes || !utf8.ValidString(long) {
		t.Fatalf("message of %d bytes", len(long))
	}
}
