package checker

import (
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// violationCase is a history that one check must report, and a near one that it must not.
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
				t.Fatalf("nothing was reported, want %s", test.promise)
			}
			for _, violation := range violations {
				if violation.Promise != test.promise {
					t.Errorf("reported %v, want %s only", violation, test.promise)
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
				t.Errorf("reported %v", violation)
			}
		})
	}
}

func TestAll_DuplicateSuccessAfterKillIsCountedApart(t *testing.T) {
	f := newFixture()
	f.submit("j", 10, task())
	f.succeed("j/s/0", "one", 1, 100, 200)
	f.fault("one", 250, calllog.ActionExit)
	f.succeed("j/s/0", "two", 2, 4000, 4100)
	f.poll("j", 5000, api.StateSucceeded)
	result := All(f.Input)
	if result.DuplicateSuccesses != 1 || len(result.Violations) != 0 {
		t.Fatalf("%d duplicates and violations %v, want 1 and none", result.DuplicateSuccesses, result.Violations)
	}
}

func TestAll_EndingWorkerMayReportItsRuns(t *testing.T) {
	f := newFixture()
	endedBehind(f, "one", 1700, 1500)
	for _, violation := range All(f.Input).Violations {
		t.Errorf("reported %v", violation)
	}
}

func TestAll_GapsAreMeasuredWithinLoad(t *testing.T) {
	f := newFixture()
	f.submit("a", 100, task())
	f.submit("b", 700, task())
	result := All(f.Input)
	if result.LongestSubmitGap != 600*time.Millisecond || result.LongestStartGap != time.Second {
		t.Fatalf("gaps are %v and %v, want 600ms and 1s", result.LongestSubmitGap, result.LongestStartGap)
	}
}
