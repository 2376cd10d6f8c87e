package checker

import (
	"testing"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
)

// submitGang submits a gang of two members with a common outcome.
func (f *fixture) submitGang() {
	f.submit("j", 10, task(), task()).Steps[0].Lockstep = true
}

// Each case is reported under its promise only, or not at all if the promise is empty.
func TestCommonOutcomeGang_MemberOutcomeCountsForGang(t *testing.T) {
	cases := map[string]struct {
		promise Promise
		observe func(*fixture)
	}{
		"the success of one member counts for all": {"", func(f *fixture) {
			f.submitGang()
			f.run("j/s/0", "one", 1, 100, 210, api.OutcomeStopped)
			f.succeed("j/s/1", "two", 1, 100, 200)
			f.poll("j", 300, api.StateSucceeded)
		}},
		"no member succeeded": {P2, func(f *fixture) {
			f.submitGang()
			f.run("j/s/0", "one", 1, 100, 210, api.OutcomeStopped)
			f.run("j/s/1", "two", 1, 100, 200, api.OutcomeStopped)
			f.poll("j", 300, api.StateSucceeded)
		}},
		"a member did not run under the run number that succeeded": {P2, func(f *fixture) {
			f.submitGang()
			f.run("j/s/0", "one", 1, 100, 150, api.OutcomeStopped)
			f.run("j/s/1", "two", 1, 100, 150, api.OutcomeStopped)
			f.succeed("j/s/1", "two", 2, 200, 300)
			f.poll("j", 400, api.StateSucceeded)
		}},
		"a member starts after another's success": {P1, func(f *fixture) {
			f.submitGang()
			f.run("j/s/0", "one", 1, 100, 210, api.OutcomeStopped)
			f.succeed("j/s/1", "two", 1, 100, 200)
			f.run("j/s/0", "one", 2, 5000, 5100, api.OutcomeStopped)
			f.poll("j", 6000, api.StateSucceeded)
		}},
		"members run under two run numbers at once": {P9, func(f *fixture) {
			f.submitGang()
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeStopped)
			f.succeed("j/s/1", "two", 1, 100, 400)
			f.succeed("j/s/0", "one", 2, 300, 390)
			f.poll("j", 500, api.StateSucceeded)
		}},
		"one run number after the other": {"", func(f *fixture) {
			f.submitGang()
			f.run("j/s/0", "one", 1, 100, 200, api.OutcomeFailed)
			f.run("j/s/1", "two", 1, 100, 210, api.OutcomeStopped)
			f.succeed("j/s/0", "one", 2, 300, 400)
			f.succeed("j/s/1", "two", 2, 300, 400)
			f.poll("j", 500, api.StateSucceeded)
		}},
		"an unreachable member of a gang that succeeded": {"", func(f *fixture) {
			f.submitGang()
			f.start("j/s/0", "one", 1, 100)
			f.fault("one", 150, calllog.ActionExit)
			f.succeed("j/s/1", "two", 1, 100, 2000)
			f.poll("j", 2100, api.StateSucceeded)
		}},
		"an unreachable member of a gang that succeeded only after the deadline": {P11, func(f *fixture) {
			f.submitGang()
			f.start("j/s/0", "one", 1, 100)
			f.fault("one", 150, calllog.ActionExit)
			f.succeed("j/s/1", "two", 1, 100, 8000)
			f.poll("j", 8100, api.StateSucceeded)
		}},
		"members fail in turn, each less often than the gang is allowed to": {"", func(f *fixture) {
			f.submitGang()
			for number, members := range [][]string{{"j/s/0", "j/s/1"}, {"j/s/1", "j/s/0"}, {"j/s/0", "j/s/1"}} {
				from := int64(100 + 100*number)
				f.run(members[0], "one", uint32(number+1), from, from+50, api.OutcomeFailed)
				f.run(members[1], "two", uint32(number+1), from, from+60, api.OutcomeStopped)
			}
			f.poll("j", 500, api.StateFailed)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			test.observe(f)
			violations := All(f.Input).Violations
			if test.promise != "" && len(violations) == 0 {
				t.Errorf("got no violation, want %s", test.promise)
			}
			for _, violation := range violations {
				if violation.Promise != test.promise {
					t.Errorf("got violation %v, want %q only", violation, test.promise)
				}
			}
		})
	}
}
