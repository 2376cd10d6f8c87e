package checker

import (
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// violationCase is a history that a check must report as a violation, and a similar one
// that it must not report.
type violationCase struct {
	name    string
	promise Promise
	violate func(*fixture)
	comply  func(*fixture)
}

// violationCases lists the cases of every check.
func violationCases() []violationCase {
	return slices.Concat(jobCases(), taskCases(), configCases(), faultCases())
}

func TestAll_ViolationIsReportedUnderItsPromise(t *testing.T) {
	for _, test := range violationCases() {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.violate(f)
			violations := All(f.Input).Violations
			if len(violations) == 0 {
				t.Fatalf("got no violation, want %s", test.promise)
			}
			for _, violation := range violations {
				if violation.Promise != test.promise {
					t.Errorf("got violation %v, want %s only", violation, test.promise)
				}
			}
		})
	}
}

func TestAll_CompliantHistoryHasNoViolation(t *testing.T) {
	for _, test := range violationCases() {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.comply(f)
			for _, violation := range All(f.Input).Violations {
				t.Errorf("got violation %v, want none", violation)
			}
		})
	}
}

// A worker that exits right after a success may not have reported it, so the task may
// succeed a second time.
func TestAll_DuplicateSuccessAfterKillIsNoViolation(t *testing.T) {
	f := newFixture()
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.fault("one", 250, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, 4000, 4100)
	f.poll("j", 5000, api.StateSucceeded)
	result := All(f.Input)
	if result.DuplicateSuccesses != 1 || len(result.Violations) != 0 {
		t.Fatalf("got %d duplicate successes and violations %v, want 1 and none", result.DuplicateSuccesses, result.Violations)
	}
}

// A worker that received a termination signal can still report the end of its run, so
// the task may start again at once.
func TestAll_TerminatingWorkerMayReportRunEnd(t *testing.T) {
	f := newFixture()
	failAroundTermination(f, "one", 1700, 1500)
	for _, violation := range All(f.Input).Violations {
		t.Errorf("got violation %v, want none", violation)
	}
}

func TestAll_GapsAreMeasuredWithinLoad(t *testing.T) {
	f := newFixture()
	f.submit("a", 100, task())
	f.submit("b", 700, task())
	result := All(f.Input)
	if result.LongestSubmitGap != 600*time.Millisecond || result.LongestStartGap != time.Second {
		t.Fatalf("got submit gap %v and start gap %v, want 600ms and 1s", result.LongestSubmitGap, result.LongestStartGap)
	}
}
