package objective

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// step returns a step of two tasks with estimates of half of estimate and of estimate.
func step(name string, estimate time.Duration, after ...string) api.StepSpec {
	tasks := []api.TaskSpec{{Estimate: api.Duration(estimate / 2)}, {Estimate: api.Duration(estimate)}}
	return api.StepSpec{Name: name, After: after, Tasks: tasks}
}

func TestCriticalPathsOf_LongestChain(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name  string
		steps []api.StepSpec
		want  CriticalPaths
	}{
		{"no step", nil, CriticalPaths{FromStep: []time.Duration{}}},
		{"one", []api.StepSpec{step("a", s)}, CriticalPaths{FromStep: []time.Duration{s}, Job: s}},
		{"a chain", []api.StepSpec{step("a", s), step("b", 2*s, "a"), step("c", 4*s, "b")}, CriticalPaths{FromStep: []time.Duration{7 * s, 6 * s, 4 * s}, Job: 7 * s}},
		{"listed backwards", []api.StepSpec{step("c", 4*s, "b"), step("b", 2*s, "a"), step("a", s)}, CriticalPaths{FromStep: []time.Duration{4 * s, 6 * s, 7 * s}, Job: 7 * s}},
		{"a diamond", []api.StepSpec{step("a", s), step("b", 9*s, "a"), step("c", 2*s, "a"), step("d", s, "b", "c")}, CriticalPaths{FromStep: []time.Duration{11 * s, 10 * s, 3 * s, s}, Job: 11 * s}},
		{"two apart", []api.StepSpec{step("a", s), step("b", 3*s)}, CriticalPaths{FromStep: []time.Duration{s, 3 * s}, Job: 3 * s}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, CriticalPathsOf(c.steps)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestDeadlinesOf_RankChangesAtEachDeadline(t *testing.T) {
	rule := &api.ObjectiveConfig{Target: api.Duration(4 * time.Second), Stretch: 2}
	deadlines, known := DeadlinesOf(rule, 1_000_000, 3*time.Second, time.Second)
	want := Deadlines{Since: 1_000_000, LatestStart: 1_009_000, LostAt: 1_029_000, PromotedAt: 1_129_000}
	if diff := cmp.Diff(want, deadlines); diff != "" || !known {
		t.Fatalf("got known %v, want true; deadlines (-want +got):\n%s", known, diff)
	}
	cases := []struct {
		now  record.Millis
		want Rank
	}{
		{1_000_000, Rank{Tier: TierOnTime, Key: 1_009_000, ValidUntil: 1_009_000}},
		{1_009_000, Rank{Tier: TierLate, Key: 1_029_000, ValidUntil: 1_029_000}},
		{1_029_000, Rank{Tier: TierLost, Key: 1_129_000, ValidUntil: 1_129_000}},
		{1_129_000, Rank{Tier: TierOnTime, Key: 1_000_000}},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("at %d", c.now), func(t *testing.T) {
			if diff := cmp.Diff(c.want, deadlines.RankAt(c.now)); diff != "" {
				t.Error(diff)
			}
		})
	}
	for name, rule := range map[string]*api.ObjectiveConfig{"none": nil, "of no length": {}} {
		t.Run("objective "+name, func(t *testing.T) {
			if _, known := DeadlinesOf(rule, 1, time.Second, time.Second); known {
				t.Error("got deadlines, want none")
			}
		})
	}
	short, _ := DeadlinesOf(&api.ObjectiveConfig{Target: api.Duration(time.Second)}, 0, 0, 0)
	unreachable, _ := DeadlinesOf(&api.ObjectiveConfig{Target: api.Duration(time.Second)}, 0, time.Hour, time.Hour)
	if rank := unreachable.RankAt(1); rank.Tier != TierLost || unreachable.PromotedAt != 60_000 {
		t.Errorf("objective shorter than the critical path: got rank %+v, deadlines %+v, want TierLost and promotion at 60000", rank, unreachable)
	}
	if short.PromotedAt-short.LostAt != record.Millis(minStarvationDelay.Milliseconds()) {
		t.Errorf("got deadlines %+v, want PromotedAt minStarvationDelay after LostAt", short)
	}
}

// Of two tasks that can meet their objectives, the one with less slack has the lower
// key at any time.
func TestRankAt_LeastSlackFirst(t *testing.T) {
	type sampledTask struct {
		deadlines Deadlines
		slack     func(now record.Millis) record.Millis
	}
	draw := func(t *rapid.T, name string) sampledTask {
		target := time.Duration(rapid.IntRange(1, 60_000).Draw(t, name+" target")) * time.Millisecond
		since := record.Millis(rapid.IntRange(0, 60_000).Draw(t, name+" since"))
		remainingPath := time.Duration(rapid.IntRange(0, 60_000).Draw(t, name+" remaining")) * time.Millisecond
		deadlines, _ := DeadlinesOf(&api.ObjectiveConfig{Target: api.Duration(target)}, since, remainingPath, remainingPath)
		return sampledTask{deadlines, func(now record.Millis) record.Millis {
			return since + record.Millis(target.Milliseconds()) - now - record.Millis(remainingPath.Milliseconds())
		}}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		now := record.Millis(rapid.IntRange(0, 120_000).Draw(t, "now"))
		if a.slack(now) <= 0 || b.slack(now) <= 0 {
			return
		}
		first, second := a.deadlines.RankAt(now), b.deadlines.RankAt(now)
		if first.Tier != TierOnTime || second.Tier != TierOnTime {
			t.Fatalf("tasks with slack: got ranks %v and %v, want TierOnTime for both", first, second)
		}
		if (first.Key < second.Key) != (a.slack(now) < b.slack(now)) {
			t.Fatalf("got slack %d and %d with keys %d and %d, want keys in the order of the slack", a.slack(now), b.slack(now), first.Key, second.Key)
		}
	})
}

// Whatever the objective, from PromotedAt on a task ranks before all tasks that arrived
// later and can still meet theirs.
func TestRankAt_OverdueTaskIsPromoted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := time.Duration(rapid.IntRange(1, 600_000).Draw(t, "target")) * time.Millisecond
		rule := &api.ObjectiveConfig{Target: api.Duration(target)}
		waiting, _ := DeadlinesOf(rule, 0, 0, 0)
		later, _ := DeadlinesOf(rule, waiting.PromotedAt, 0, 0)
		now := waiting.PromotedAt
		if a, b := waiting.RankAt(now), later.RankAt(now); a.Tier != TierOnTime || a.Key >= b.Key {
			t.Fatalf("got rank %v of the promoted task, want it before %v", a, b)
		}
	})
}
