package placement

import (
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

func TestQueues_PlacementOrder(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "light", Weight: 1}, {Name: "heavy", Weight: 2}})
	for i := range 6 {
		for _, name := range []string{"light", "heavy"} {
			task := testTask(name, i, 1)
			task.Queue = name
			e.Add(task)
		}
	}
	urgent := testTask("urgent", 99, 1)
	urgent.Priority = 1
	impossible := testTask("impossible", 98, 1000)
	impossible.Priority = 2
	addAll(e, urgent, impossible)
	// Equal shares go by Sequence, equal Sequences by name.
	expect(t, "first", placed(e, 1), "urgent/a/99@w")
	expect(t, "then by weight", placed(e, 6), "heavy/a/0@w light/a/0@w heavy/a/1@w light/a/1@w heavy/a/2@w heavy/a/3@w")
	expect(t, "waiting", e.Waiting(), 7)
}

func TestQueues_MaxRunning(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, MaxRunning: 2}})
	addAll(e, gangOf("g", 1, 1, 1)...)
	addAll(e, testTask("j", 5, 1), testTask("j", 6, 1), testTask("j", 7, 1))
	expect(t, "up to the limit", placed(e, 10), "j/a/5@w j/a/6@w")
	expect(t, "reason", e.Reason(testTask("j", 7, 1).ID), `quota: queue "q" has its 2 running tasks`)
	e.Release(testTask("j", 5, 1).ID)
	expect(t, "one released", placed(e, 10), "j/a/7@w")
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, MaxRunning: 5}})
	expect(t, "raised", placed(e, 10), "g/a/0@w g/a/1@w g/a/2@w")
	addAll(e, gangOf("h", 1, 1)...)
	expect(t, "gang over the limit", placed(e, 10), "")
	expect(t, "reason", e.Reason(record.TaskID{Job: "h", Step: "a"}), `quota: queue "q" has its 5 running tasks, group needs 2`)
	e.Release(testTask("j", 6, 1).ID)
	expect(t, "one released", placed(e, 10), "")
	e.Release(testTask("j", 7, 1).ID)
	expect(t, "two released", placed(e, 10), "h/a/0@w h/a/1@w")
}

func TestTeam_LimitBoundsItsQueues(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetTeams([]TeamRule{{Name: "t", MaxRunning: 3}})
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, Team: "t"}, {Name: "r", Weight: 1, Team: "t"}})
	for i := range 2 {
		other := testTask("other", i, 1)
		other.Queue = "r"
		addAll(e, testTask("j", i, 1), other)
	}
	expect(t, "up to the limit", placed(e, 10), "j/a/0@w other/a/0@w j/a/1@w")
	addAll(e, gangOf("g", 1, 1)...)
	expect(t, "reason", e.Reason(record.TaskID{Job: "other", Step: "a", Index: 1}), `quota: team "t" has its 3 running tasks`)
	expect(t, "gang", e.Reason(record.TaskID{Job: "g", Step: "a"}), `quota: team "t" has its 3 running tasks, group needs 2`)
	e.Release(testTask("j", 0, 1).ID)
	expect(t, "one released", placed(e, 10), "other/a/1@w")
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1}, {Name: "r", Weight: 1, Team: "t"}})
	expect(t, "left the team", placed(e, 10), "g/a/0@w g/a/1@w")
}

// TestQueues_BySlackShareAsOne: queues "u1" and "u2" go by Sequence, whatever
// their weights; against "plain" their weights count together.
func TestQueues_BySlackShareAsOne(t *testing.T) {
	rules := func(u1, u2, plain int) []QueueRule {
		return []QueueRule{
			{Name: "u1", Weight: u1, BySlack: true}, {Name: "u2", Weight: u2, BySlack: true}, {Name: "plain", Weight: plain},
		}
	}
	cases := []struct {
		name   string
		rules  []QueueRule
		queues []string // of tasks with Sequence 0, 1, ...
		want   string
	}{
		{"by sequence, not by weight", rules(1, 9, 1), []string{"u1", "u1", "u1", "u2"}, "u1 u1 u1 u2"},
		{"together as heavy as both", rules(1, 2, 1), []string{"u1", "u2", "u1", "u2", "u1", "u2", "plain", "plain"}, "u1 plain u2 u1 u2 plain u1 u2"},
		{"only those that have work count", rules(1, 9, 2), []string{"u1", "u1", "u1", "plain", "plain", "plain"}, "u1 plain plain u1 plain u1"},
		{"plain queues alone", rules(1, 1, 1), []string{"plain", "plain"}, "plain plain"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(testWorker("w", cpu(1000)))
			e.SetQueues(c.rules)
			expect(t, "order", queueOrder(e, c.queues), c.want)
		})
	}
}

// queueOrder adds a task of each queue with Sequence 0, 1, ... and returns the
// queues in the order in which all are placed.
func queueOrder(e *Engine, queues []string) string {
	for i, queue := range queues {
		task := testTask(queue, i, 1)
		task.Queue = queue
		e.Add(task)
	}
	var order []string
	for _, d := range e.Plan(100) {
		order = append(order, d.Task.Job)
	}
	return strings.Join(order, " ")
}

// TestDeference_OverloadedQueueDefers: tasks of "burst" are the most urgent, those of
// "calm" came last.
func TestDeference_OverloadedQueueDefers(t *testing.T) {
	rules := func(burst, calm int) []QueueRule {
		return []QueueRule{{Name: "burst", Weight: burst, BySlack: true}, {Name: "calm", Weight: calm, BySlack: true}}
	}
	cases := []struct {
		name       string
		rules      []QueueRule
		overloaded []string
		queues     []string // of tasks with Sequence 0, 1, ...
		want       string
	}{
		{"none is overloaded", rules(1, 1), nil, []string{"burst", "burst", "burst", "calm", "calm"}, "burst burst burst calm calm"},
		{"shares while calm has something", rules(1, 1), []string{"burst"}, []string{"burst", "burst", "burst", "burst", "calm", "calm"}, "burst calm burst calm burst burst"},
		{"a heavier one has more", rules(3, 1), []string{"burst"}, []string{"burst", "burst", "burst", "burst", "calm", "calm"}, "burst calm burst burst burst calm"},
		{"alone it has all", rules(1, 1), []string{"burst"}, []string{"burst", "burst", "burst"}, "burst burst burst"},
		{"one below its share goes by its sequence", rules(1, 1), []string{"calm"}, []string{"burst", "burst", "calm", "calm"}, "burst burst calm calm"},
		{"both by their shares", rules(1, 1), []string{"burst", "calm"}, []string{"burst", "burst", "calm", "calm"}, "burst calm burst calm"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(testWorker("w", cpu(1000)))
			e.SetQueues(c.rules)
			e.SetDeferences(deferToAll(c.rules, c.overloaded))
			expect(t, "order", queueOrder(e, c.queues), c.want)
		})
	}
}

// deferToAll has queues defer to all others.
func deferToAll(rules []QueueRule, queues []string) []Deference {
	var deferences []Deference
	for _, name := range queues {
		deference := Deference{Queue: name}
		for _, rule := range rules {
			if rule.Name != name {
				deference.To = append(deference.To, rule.Name)
			}
		}
		deferences = append(deferences, deference)
	}
	return deferences
}
