package objective

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func step(name string, estimate time.Duration, after ...string) api.StepSpec {
	tasks := []api.TaskSpec{{Estimate: api.Duration(estimate / 2)}, {Estimate: api.Duration(estimate)}}
	return api.StepSpec{Name: name, After: after, Tasks: tasks}
}

func TestChainsOf(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name  string
		steps []api.StepSpec
		want  Chains
	}{
		{"no step", nil, Chains{From: []time.Duration{}}},
		{"one", []api.StepSpec{step("a", s)}, Chains{From: []time.Duration{s}, Whole: s}},
		{"a line", []api.StepSpec{step("a", s), step("b", 2*s, "a"), step("c", 4*s, "b")}, Chains{From: []time.Duration{7 * s, 6 * s, 4 * s}, Whole: 7 * s}},
		{"listed backwards", []api.StepSpec{step("c", 4*s, "b"), step("b", 2*s, "a"), step("a", s)}, Chains{From: []time.Duration{4 * s, 6 * s, 7 * s}, Whole: 7 * s}},
		{"a diamond", []api.StepSpec{step("a", s), step("b", 9*s, "a"), step("c", 2*s, "a"), step("d", s, "b", "c")}, Chains{From: []time.Duration{11 * s, 10 * s, 3 * s, s}, Whole: 11 * s}},
		{"two apart", []api.StepSpec{step("a", s), step("b", 3*s)}, Chains{From: []time.Duration{s, 3 * s}, Whole: 3 * s}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ChainsOf(c.steps)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTimesAndRanks(t *testing.T) {
	rule := &api.ObjectiveConfig{Target: api.Duration(4 * time.Second), Stretch: 2}
	times, known := TimesOf(rule, 1_000_000, 3*time.Second, time.Second)
	want := Times{Since: 1_000_000, Latest: 1_009_000, Lost: 1_029_000, First: 1_129_000}
	if diff := cmp.Diff(want, times); diff != "" || !known {
		t.Fatalf("known %v, %s", known, diff)
	}
	cases := []struct {
		now  record.Millis
		want Rank
	}{
		{1_000_000, Rank{Tier: Met, Key: 1_009_000, Until: 1_009_000}},
		{1_009_000, Rank{Tier: Late, Key: 1_029_000, Until: 1_029_000}},
		{1_029_000, Rank{Tier: Lost, Key: 1_129_000, Until: 1_129_000}},
		{1_129_000, Rank{Tier: Met, Key: 1_000_000}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, times.RankAt(c.now)); diff != "" {
			t.Errorf("at %d: %s", c.now, diff)
		}
	}
	for name, rule := range map[string]*api.ObjectiveConfig{"none": nil, "of no length": {}} {
		if _, known := TimesOf(rule, 1, time.Second, time.Second); known {
			t.Errorf("%s: taken for an objective", name)
		}
	}
	short, _ := TimesOf(&api.ObjectiveConfig{Target: api.Duration(time.Second)}, 0, 0, 0)
	hopeless, _ := TimesOf(&api.ObjectiveConfig{Target: api.Duration(time.Second)}, 0, time.Hour, time.Hour)
	if rank := hopeless.RankAt(1); rank.Tier != Lost || hopeless.First != 60_000 {
		t.Errorf("an objective shorter than the work: %+v, %+v", rank, hopeless)
	}
	if short.First-short.Lost != record.Millis(leastPatience.Milliseconds()) {
		t.Errorf("patience: %+v", short)
	}
}

// TestLeastSlackFirst: of two tasks that can be met, the one with less slack has
// the lower key, at any moment.
func TestLeastSlackFirst(t *testing.T) {
	type drawn struct {
		times Times
		slack func(now record.Millis) record.Millis
	}
	draw := func(t *rapid.T, name string) drawn {
		target := time.Duration(rapid.IntRange(1, 60_000).Draw(t, name+" target")) * time.Millisecond
		since := record.Millis(rapid.IntRange(0, 60_000).Draw(t, name+" since"))
		remaining := time.Duration(rapid.IntRange(0, 60_000).Draw(t, name+" remaining")) * time.Millisecond
		times, _ := TimesOf(&api.ObjectiveConfig{Target: api.Duration(target)}, since, remaining, remaining)
		return drawn{times, func(now record.Millis) record.Millis {
			return since + record.Millis(target.Milliseconds()) - now - record.Millis(remaining.Milliseconds())
		}}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		now := record.Millis(rapid.IntRange(0, 120_000).Draw(t, "now"))
		if a.slack(now) <= 0 || b.slack(now) <= 0 {
			return
		}
		first, second := a.times.RankAt(now), b.times.RankAt(now)
		if first.Tier != Met || second.Tier != Met {
			t.Fatalf("slack is left: %v, %v", first, second)
		}
		if (first.Key < second.Key) != (a.slack(now) < b.slack(now)) {
			t.Fatalf("slack %d and %d, keys %d and %d", a.slack(now), b.slack(now), first.Key, second.Key)
		}
	})
}

// TestNoneStarves: whatever the objective, from First on a task stands before all
// that came later and still can be met.
func TestNoneStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := time.Duration(rapid.IntRange(1, 600_000).Draw(t, "target")) * time.Millisecond
		rule := &api.ObjectiveConfig{Target: api.Duration(target)}
		waiting, _ := TimesOf(rule, 0, 0, 0)
		newcomer, _ := TimesOf(rule, waiting.First, 0, 0)
		now := waiting.First
		if a, b := waiting.RankAt(now), newcomer.RankAt(now); a.Tier != Met || a.Key >= b.Key {
			t.Fatalf("%v is not before %v", a, b)
		}
	})
}
