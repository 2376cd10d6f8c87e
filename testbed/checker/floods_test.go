package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// reject records an answer to a job that must be rejected.
func (f *fixture) reject(class calllog.Class, status int, code api.ErrorCode, retryAfter bool) {
	id := fmt.Sprintf("refused-%d", len(f.Entries))
	f.entry(calllog.KindSubmit, 500, calllog.Entry{
		JobID: id, Spec: &api.JobSpec{}, Class: class, Status: status, Code: code, Error: "refused", RetryAfter: retryAfter,
	})
}

func TestCheckFloodAnswers_ReportsWrongRejections(t *testing.T) {
	cases := []struct {
		name     string
		arrange  func(*fixture)
		breaches int
	}{
		{"refused with a reason", func(f *fixture) {
			f.reject(calllog.ClassImpossible, 422, api.CodeImpossible, false)
			f.reject(calllog.ClassOverQuota, 429, api.CodeOverLimit, true)
		}, 0},
		{"a 503 that says when to retry", func(f *fixture) { f.reject(calllog.ClassOverQuota, 503, api.CodeUnavailable, true) }, 0},
		{"a 503 that does not", func(f *fixture) { f.reject(calllog.ClassOverQuota, 503, api.CodeUnavailable, false) }, 1},
		{"a refusal without a reason", func(f *fixture) { f.reject(calllog.ClassImpossible, 422, "", false) }, 1},
		{"another status", func(f *fixture) { f.reject(calllog.ClassImpossible, 500, api.CodeInternal, false) }, 1},
		{"no answer", func(f *fixture) { f.reject(calllog.ClassImpossible, 0, "", false) }, 1},
		{"alike faults count once", func(f *fixture) {
			f.reject(calllog.ClassImpossible, 500, api.CodeInternal, false)
			f.reject(calllog.ClassImpossible, 500, api.CodeInternal, false)
		}, 1},
		{"accepted", func(f *fixture) {
			f.submitAs(calllog.ClassOverQuota, "j", 500, task())
			f.Entries[0].Status = 201
			f.entry(calllog.KindCancel, 600, calllog.Entry{JobID: "j"})
			f.poll("j", 700, api.StateCancelled)
		}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.arrange(f)
			f.expect(t, P14, test.breaches)
		})
	}
}

// ordinary submits a job at each of the times; its task starts that much
// later.
func (f *fixture) ordinary(name string, delay int64, times ...int64) {
	for _, millis := range times {
		id := fmt.Sprintf("%s-%d", name, millis)
		f.submit(id, millis, task())
		f.succeed(id+"/s/0", "one", 1, millis+delay, millis+delay+1)
		f.poll(id, millis+delay+2, api.StateSucceeded)
	}
}

func TestCheckFloodSlowdown_ComparesWithBaseline(t *testing.T) {
	cases := []struct {
		name     string
		arrange  func(*fixture)
		breaches int
	}{
		{"twice as slow", func(f *fixture) { f.ordinary("a", 50, 100, 200); f.ordinary("b", 100, 600, 700) }, 0},
		{"slower", func(f *fixture) { f.ordinary("a", 50, 100, 200); f.ordinary("b", 101, 600, 700) }, 1},
		{"slower only after it", func(f *fixture) {
			f.ordinary("a", 50, 100)
			f.ordinary("b", 100, 600)
			f.ordinary("c", 900, 1500)
		}, 0},
		{"slow work of the flood itself", func(f *fixture) {
			f.ordinary("a", 50, 100)
			f.ordinary("b", 100, 600)
			f.submitAs(calllog.ClassDiscarded, "j", 700, task())
			f.succeed("j/s/0", "two", 1, 1700, 1800)
			f.poll("j", 1900, api.StateSucceeded)
		}, 0},
		{"nothing before it", func(f *fixture) { f.ordinary("b", 100, 600) }, 1},
		{"nothing in it", func(f *fixture) { f.ordinary("a", 50, 100) }, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.milestone(calllog.MilestoneFloodStart, 500)
			f.milestone(calllog.MilestoneFloodEnd, 1000)
			test.arrange(f)
			f.expect(t, P14, test.breaches)
		})
	}
}

func TestNearestRank_ReturnsSmallestCoveringDelay(t *testing.T) {
	delays := []time.Duration{4, 1, 3, 2}
	for percent, want := range map[float64]time.Duration{0: 1, 25: 1, 50: 2, 75: 3, 76: 4, 100: 4} {
		if got := nearestRank(delays, percent); got != want {
			t.Errorf("%v percent: %d, want %d", percent, got, want)
		}
	}
	if nearestRank(nil, 99) != 0 {
		t.Error("of none, want 0")
	}
}
