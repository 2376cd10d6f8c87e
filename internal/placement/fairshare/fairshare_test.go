package fairshare

import (
	"maps"
	"slices"
	"testing"
)

// newTable returns a table with these rules; running are open runs by queue.
func newTable(rules []QueueRule, running map[string]int) *Table {
	t := NewTable()
	t.SetQueues(rules)
	for name, count := range running {
		t.Get(name).CountRun(count)
	}
	return t
}

// waiter counts how often it was activated, and leaves its list then.
type waiter struct {
	list      Waitlist
	activated int
}

func (w *waiter) Activate() {
	w.activated++
	w.list.Leave(w)
}

// await has a new waiter wait for the limit that does not allow one more run.
func await(q *Queue) *waiter {
	w := &waiter{}
	w.list = q.Await(w, 1)
	return w
}

func TestCompare_LowestShareFirst(t *testing.T) {
	cases := map[string]struct {
		weights [2]int
		running [2]int
		want    int
	}{
		"equal weights":      {[2]int{1, 1}, [2]int{3, 2}, 1},
		"by weight":          {[2]int{3, 1}, [2]int{5, 2}, -1},
		"equal shares":       {[2]int{2, 1}, [2]int{4, 2}, 0},
		"no weight counts 1": {[2]int{0, 1}, [2]int{2, 2}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(
				[]QueueRule{{Name: "a", Weight: c.weights[0]}, {Name: "b", Weight: c.weights[1]}},
				map[string]int{"a": c.running[0], "b": c.running[1]},
			)
			a, b := table.Get("a"), table.Get("b")
			if got := Compare(a, b); got != c.want {
				t.Errorf("Compare = %d, want %d", got, c.want)
			}
			var sum Sum
			sum.Add(a)
			if got := sum.Compare(b); got != c.want {
				t.Errorf("Sum.Compare = %d, want %d", got, c.want)
			}
			if got := sum.IsExceededBy(b); got != (c.want < 0) {
				t.Errorf("IsExceededBy = %v, want %v", got, c.want < 0)
			}
		})
	}
}

func TestQueue_LimitsOfQueueAndTeam(t *testing.T) {
	table := newTable([]QueueRule{
		{Name: "a", MaxRunning: 4, Team: "t"}, {Name: "b", Team: "t"}, {Name: "free"},
	}, map[string]int{"a": 3, "b": 4})
	table.SetTeams([]TeamRule{{Name: "t", MaxRunning: 8}})
	cases := []struct {
		queue string
		count int
		want  bool
		limit Limit
	}{
		{"a", 1, true, Limit{}},
		{"a", 2, false, Limit{Kind: "queue", Name: "a", Running: 3, MaxRunning: 4}},
		{"b", 2, false, Limit{Kind: "team", Name: "t", Running: 7, MaxRunning: 8}},
		{"free", 1000, true, Limit{}},
	}
	for _, c := range cases {
		q := table.Get(c.queue)
		if got := q.CanRun(c.count); got != c.want {
			t.Errorf("%s: CanRun(%d) = %v, want %v", c.queue, c.count, got, c.want)
		}
		if !c.want && q.Exceeded(c.count) != c.limit {
			t.Errorf("%s: Exceeded(%d) = %v, want %v", c.queue, c.count, q.Exceeded(c.count), c.limit)
		}
	}
	table.SetQueues([]QueueRule{{Name: "a", MaxRunning: 4}, {Name: "b", Team: "t"}})
	if !table.Get("b").CanRun(4) || table.Get("b").CanRun(5) {
		t.Error("the runs of a queue that left the team count there still")
	}
}

func TestQueue_WaitersAreActivatedOnce(t *testing.T) {
	table := newTable([]QueueRule{{Name: "a", MaxRunning: 1}, {Name: "b", Team: "t"}}, map[string]int{"a": 1, "b": 1})
	table.SetTeams([]TeamRule{{Name: "t", MaxRunning: 1}})
	forQueue, forTeam := await(table.Get("a")), await(table.Get("b"))
	table.Get("a").RunEnded()
	table.Get("a").RunEnded()
	if forQueue.activated != 1 || forTeam.activated != 0 {
		t.Errorf("a run of a ended: activated %d and %d times, want 1 and 0", forQueue.activated, forTeam.activated)
	}
	table.Get("b").RunEnded()
	if forTeam.activated != 1 {
		t.Errorf("a run of the team ended: activated %d times, want 1", forTeam.activated)
	}
}

func TestTable_ChangedRulesActivateWaiters(t *testing.T) {
	rules := []QueueRule{{Name: "a", MaxRunning: 1, Team: "t"}, {Name: "b", Team: "t"}}
	table := newTable(rules, map[string]int{"a": 1})
	table.SetTeams([]TeamRule{{Name: "t", MaxRunning: 1}})
	forQueue, forTeam := await(table.Get("a")), await(table.Get("b"))
	table.SetTeams(nil)
	if forTeam.activated != 1 || forQueue.activated != 0 {
		t.Error("a change of teams does not activate what waits for a team alone")
	}
	table.SetQueues(rules)
	if forQueue.activated != 1 {
		t.Error("a change of queues does not activate what waits for a queue")
	}
}

func TestTable_SetQueuesReturnsChangedHeadrooms(t *testing.T) {
	table := NewTable()
	steps := []struct {
		rules []QueueRule
		want  []string
		needs bool
	}{
		{[]QueueRule{{Name: "a", Headroom: 20}, {Name: "b", Headroom: 20}, {Name: "c"}}, []string{"a", "b"}, true},
		{[]QueueRule{{Name: "a", Headroom: 20}, {Name: "b", Headroom: 30}, {Name: "c", Weight: 4}}, []string{"b"}, true},
		{[]QueueRule{{Name: "c"}}, []string{"a", "b"}, false},
		{nil, nil, false},
	}
	for number, step := range steps {
		changed := slices.Sorted(maps.Keys(table.SetQueues(step.rules)))
		if !slices.Equal(changed, step.want) {
			t.Errorf("step %d: changed %v, want %v", number, changed, step.want)
		}
		if got := table.NeedsUtilization(); got != step.needs {
			t.Errorf("step %d: NeedsUtilization = %v, want %v", number, got, step.needs)
		}
	}
}

func TestTable_SetReservedReturnsFirstAndLast(t *testing.T) {
	table := NewTable()
	table.Get("a")
	steps := []struct{ reserved, want []string }{
		{[]string{"a", "new"}, []string{"a", "new"}},
		{[]string{"a"}, []string{"new"}},
		{[]string{"a"}, nil},
		{nil, []string{"a"}},
	}
	for number, step := range steps {
		reserved := map[string]bool{}
		for _, name := range step.reserved {
			reserved[name] = true
		}
		changed := slices.Sorted(maps.Keys(table.SetReserved(reserved)))
		if !slices.Equal(changed, step.want) {
			t.Errorf("step %d: changed %v, want %v", number, changed, step.want)
		}
		for _, name := range []string{"a", "new"} {
			if got := table.Get(name).IsReserved(); got != reserved[name] {
				t.Errorf("step %d: %s reserved %v, want %v", number, name, got, reserved[name])
			}
		}
	}
}

func TestTable_DeferencesOfQueuesBySlack(t *testing.T) {
	table := newTable([]QueueRule{{Name: "burst", BySlack: true}, {Name: "calm", BySlack: true}, {Name: "plain"}}, nil)
	table.SetDeferences([]Deference{{Queue: "burst", To: []string{"calm"}}, {Queue: "plain", To: []string{"calm"}}})
	burst, calm, plain := table.Get("burst"), table.Get("calm"), table.Get("plain")
	if !burst.MayDefer() || calm.MayDefer() || plain.MayDefer() {
		t.Error("not the burst alone may defer")
	}
	if !burst.DefersTo(calm) || burst.DefersTo(plain) || calm.DefersTo(burst) {
		t.Error("the burst does not defer to calm alone")
	}
	if to := slices.Collect(burst.DeferredTo); len(to) != 1 || to[0] != calm {
		t.Errorf("the burst defers to %d queues, want calm alone", len(to))
	}
	if !table.MayDefer() {
		t.Error("the table does not tell that a queue defers")
	}
	table.SetDeferences(nil)
	if table.MayDefer() || burst.MayDefer() {
		t.Error("a deference is left")
	}
}
