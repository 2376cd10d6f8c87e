package fairshare

import (
	"maps"
	"slices"
	"testing"
)

// newTable returns a table with the given rules; running is the number of open runs by
// queue.
func newTable(rules []QueueRule, running map[string]int) *Table {
	t := NewTable()
	t.SetQueues(rules)
	for name, count := range running {
		t.GetOrCreate(name).CountRun(count)
	}
	return t
}

// waiter counts how often it was activated, and then leaves its list.
type waiter struct {
	list      Waitlist
	activated int
}

func (w *waiter) Activate() {
	w.activated++
	w.list.Leave(w)
}

// await registers a new waiter with the limit that does not allow one more run.
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
		"equal weights":        {[2]int{1, 1}, [2]int{3, 2}, 1},
		"by weight":            {[2]int{3, 1}, [2]int{5, 2}, -1},
		"equal shares":         {[2]int{2, 1}, [2]int{4, 2}, 0},
		"weight 0 counts as 1": {[2]int{0, 1}, [2]int{2, 2}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable(
				[]QueueRule{{Name: "a", Weight: c.weights[0]}, {Name: "b", Weight: c.weights[1]}},
				map[string]int{"a": c.running[0], "b": c.running[1]},
			)
			a, b := table.GetOrCreate("a"), table.GetOrCreate("b")
			if got := Compare(a, b); got != c.want {
				t.Errorf("Compare: got %d, want %d", got, c.want)
			}
			var sum CombinedShare
			sum.Add(a)
			if got := sum.Compare(b); got != c.want {
				t.Errorf("Sum.Compare: got %d, want %d", got, c.want)
			}
			if got := sum.IsExceededBy(b); got != (c.want < 0) {
				t.Errorf("IsExceededBy: got %v, want %v", got, c.want < 0)
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
		q := table.GetOrCreate(c.queue)
		if got := q.CanRun(c.count); got != c.want {
			t.Errorf("%s: CanRun(%d): got %v, want %v", c.queue, c.count, got, c.want)
		}
		if !c.want && q.Exceeded(c.count) != c.limit {
			t.Errorf("%s: Exceeded(%d): got %v, want %v", c.queue, c.count, q.Exceeded(c.count), c.limit)
		}
	}
	table.SetQueues([]QueueRule{{Name: "a", MaxRunning: 4}, {Name: "b", Team: "t"}})
	if !table.GetOrCreate("b").CanRun(4) || table.GetOrCreate("b").CanRun(5) {
		t.Error("after a left the team: CanRun(4) and CanRun(5) of b, want true and false")
	}
}

func TestQueue_WaitersAreActivatedOnce(t *testing.T) {
	table := newTable([]QueueRule{{Name: "a", MaxRunning: 1}, {Name: "b", Team: "t"}}, map[string]int{"a": 1, "b": 1})
	table.SetTeams([]TeamRule{{Name: "t", MaxRunning: 1}})
	forQueue, forTeam := await(table.GetOrCreate("a")), await(table.GetOrCreate("b"))
	table.GetOrCreate("a").RunEnded()
	table.GetOrCreate("a").RunEnded()
	if forQueue.activated != 1 || forTeam.activated != 0 {
		t.Errorf("after a run of a ended: waiters of a and of the team: got %d and %d activations, want 1 and 0", forQueue.activated, forTeam.activated)
	}
	table.GetOrCreate("b").RunEnded()
	if forTeam.activated != 1 {
		t.Errorf("after a run of the team ended: got %d activations of its waiter, want 1", forTeam.activated)
	}
}

func TestTable_ChangedRulesActivateWaiters(t *testing.T) {
	rules := []QueueRule{{Name: "a", MaxRunning: 1, Team: "t"}, {Name: "b", Team: "t"}}
	table := newTable(rules, map[string]int{"a": 1})
	table.SetTeams([]TeamRule{{Name: "t", MaxRunning: 1}})
	forQueue, forTeam := await(table.GetOrCreate("a")), await(table.GetOrCreate("b"))
	table.SetTeams(nil)
	if forTeam.activated != 1 || forQueue.activated != 0 {
		t.Error("SetTeams: want only the waiter of the team activated, once")
	}
	table.SetQueues(rules)
	if forQueue.activated != 1 {
		t.Error("SetQueues: want the waiter of the queue activated once")
	}
}

func TestTable_SetQueuesReturnsChangedHeadrooms(t *testing.T) {
	table := NewTable()
	steps := []struct {
		rules []QueueRule
		want  []string
		needs bool
	}{
		{[]QueueRule{{Name: "a", HeadroomPercent: 20}, {Name: "b", HeadroomPercent: 20}, {Name: "c"}}, []string{"a", "b"}, true},
		{[]QueueRule{{Name: "a", HeadroomPercent: 20}, {Name: "b", HeadroomPercent: 30}, {Name: "c", Weight: 4}}, []string{"b"}, true},
		{[]QueueRule{{Name: "c"}}, []string{"a", "b"}, false},
		{nil, nil, false},
	}
	for number, step := range steps {
		changed := slices.Sorted(maps.Keys(table.SetQueues(step.rules)))
		if !slices.Equal(changed, step.want) {
			t.Errorf("step %d: got changed %v, want %v", number, changed, step.want)
		}
		if got := table.NeedsUtilization(); got != step.needs {
			t.Errorf("step %d: NeedsUtilization: got %v, want %v", number, got, step.needs)
		}
	}
}

func TestTable_SetReservedReturnsChangedQueues(t *testing.T) {
	table := NewTable()
	table.GetOrCreate("a")
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
			t.Errorf("step %d: got changed %v, want %v", number, changed, step.want)
		}
		for _, name := range []string{"a", "new"} {
			if got := table.GetOrCreate(name).IsReserved(); got != reserved[name] {
				t.Errorf("step %d: %s: got reserved %v, want %v", number, name, got, reserved[name])
			}
		}
	}
}

func TestTable_DeferencesApplyToQueuesBySlackOnly(t *testing.T) {
	table := newTable([]QueueRule{{Name: "burst", BySlack: true}, {Name: "calm", BySlack: true}, {Name: "plain"}}, nil)
	table.SetDeferences([]Deference{{Queue: "burst", To: []string{"calm"}}, {Queue: "plain", To: []string{"calm"}}})
	burst, calm, plain := table.GetOrCreate("burst"), table.GetOrCreate("calm"), table.GetOrCreate("plain")
	if !burst.MayDefer() || calm.MayDefer() || plain.MayDefer() {
		t.Error("MayDefer: want true for burst only")
	}
	if !burst.DefersTo(calm) || burst.DefersTo(plain) || calm.DefersTo(burst) {
		t.Error("DefersTo: want burst to defer to calm only")
	}
	if to := slices.Collect(burst.DeferenceTargets); len(to) != 1 || to[0] != calm {
		t.Errorf("deferences of burst: got %d queues, want 1 (calm)", len(to))
	}
	if !table.MayDefer() {
		t.Error("Table.MayDefer: got false, want true")
	}
	table.SetDeferences(nil)
	if table.MayDefer() || burst.MayDefer() {
		t.Error("after SetDeferences(nil): MayDefer: got true, want false")
	}
}
