package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// rejectSubmit records the answer to a job that must be rejected.
func (f *fixture) rejectSubmit(class calllog.Class, status int, code api.ErrorCode, retryAfter bool) {
	id := fmt.Sprintf("refused-%d", len(f.Entries))
	f.addEntry(calllog.KindSubmit, 500, calllog.Entry{
		JobID: id, Spec: &api.JobSpec{}, Class: class, Status: status, Code: code, Error: "refused", RetryAfter: retryAfter,
	})
}

func TestCheckFloodAnswers_WrongRejectionIsReported(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*fixture)
		want    int
	}{
		{"rejected with a reason", func(f *fixture) {
			f.rejectSubmit(calllog.ClassImpossible, 422, api.CodeImpossible, false)
			f.rejectSubmit(calllog.ClassOverQuota, 429, api.CodeOverLimit, true)
		}, 0},
		{"503 with Retry-After", func(f *fixture) { f.rejectSubmit(calllog.ClassOverQuota, 503, api.CodeUnavailable, true) }, 0},
		{"503 without Retry-After", func(f *fixture) { f.rejectSubmit(calllog.ClassOverQuota, 503, api.CodeUnavailable, false) }, 1},
		{"rejected without a reason", func(f *fixture) { f.rejectSubmit(calllog.ClassImpossible, 422, "", false) }, 1},
		{"another status", func(f *fixture) { f.rejectSubmit(calllog.ClassImpossible, 500, api.CodeInternal, false) }, 1},
		{"no answer", func(f *fixture) { f.rejectSubmit(calllog.ClassImpossible, 0, "", false) }, 1},
		{"equal wrong answers are reported once", func(f *fixture) {
			f.rejectSubmit(calllog.ClassImpossible, 500, api.CodeInternal, false)
			f.rejectSubmit(calllog.ClassImpossible, 500, api.CodeInternal, false)
		}, 1},
		{"accepted", func(f *fixture) {
			f.submitAs(calllog.ClassOverQuota, "j", 500, task())
			f.Entries[0].Status = 201
			f.addEntry(calllog.KindCancel, 600, calllog.Entry{JobID: "j"})
			f.poll("j", 700, api.StateCancelled)
		}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.arrange(f)
			f.expectViolations(t, P14, test.want)
		})
	}
}

// runOrdinary submits a job at each of the times, in milliseconds; the task of each
// starts delay milliseconds later.
func (f *fixture) runOrdinary(name string, delay int64, times ...int64) {
	for _, millis := range times {
		id := fmt.Sprintf("%s-%d", name, millis)
		f.submit(id, millis, task())
		f.succeed(id+"/s/0", "one", 1, millis+delay, millis+delay+1)
		f.poll(id, millis+delay+2, api.StateSucceeded)
	}
}

func TestCheckFloodSlowdown_DelayBeyondTwiceBaselineIsReported(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(*fixture)
		want    int
	}{
		{"twice as slow", func(f *fixture) { f.runOrdinary("a", 50, 100, 200); f.runOrdinary("b", 100, 600, 700) }, 0},
		{"more than twice as slow", func(f *fixture) { f.runOrdinary("a", 50, 100, 200); f.runOrdinary("b", 101, 600, 700) }, 1},
		{"slower only after the flood", func(f *fixture) {
			f.runOrdinary("a", 50, 100)
			f.runOrdinary("b", 100, 600)
			f.runOrdinary("c", 900, 1500)
		}, 0},
		{"slow work of the flood itself", func(f *fixture) {
			f.runOrdinary("a", 50, 100)
			f.runOrdinary("b", 100, 600)
			f.submitAs(calllog.ClassDiscarded, "j", 700, task())
			f.succeed("j/s/0", "two", 1, 1700, 1800)
			f.poll("j", 1900, api.StateSucceeded)
		}, 0},
		{"no ordinary work before the flood", func(f *fixture) { f.runOrdinary("b", 100, 600) }, 1},
		{"no ordinary work during the flood", func(f *fixture) { f.runOrdinary("a", 50, 100) }, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.milestone(calllog.MilestoneFloodStart, 500)
			f.milestone(calllog.MilestoneFloodEnd, 1000)
			test.arrange(f)
			f.expectViolations(t, P14, test.want)
		})
	}
}

func TestNearestRank_ReturnsSmallestCoveringDelay(t *testing.T) {
	delays := []time.Duration{4, 1, 3, 2}
	for percent, want := range map[float64]time.Duration{0: 1, 25: 1, 50: 2, 75: 3, 76: 4, 100: 4} {
		if got := nearestRank(delays, percent); got != want {
			t.Errorf("percentile %v: got %d, want %d", percent, got, want)
		}
	}
	if nearestRank(nil, 99) != 0 {
		t.Error("got a delay other than 0 for no delays, want 0")
	}
}
