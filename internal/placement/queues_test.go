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
	// Equal shares are ordered by Sequence, equal Sequences by task ID.
	expect(t, "placed by priority", placed(e, 1), "urgent/a/99@w")
	expect(t, "placed by weight", placed(e, 6), "heavy/a/0@w light/a/0@w heavy/a/1@w light/a/1@w heavy/a/2@w heavy/a/3@w")
	expect(t, "tasks waiting", e.Waiting(), 7)
}

func TestQueues_MaxRunning(t *testing.T) {
	e := newEngine(testWorker("w", cpu(100)))
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, MaxRunning: 2}})
	addAll(e, gangOf("g", 1, 1, 1)...)
	addAll(e, testTask("j", 5, 1), testTask("j", 6, 1), testTask("j", 7, 1))
	expect(t, "placed up to the queue limit", placed(e, 10), "j/a/5@w j/a/6@w")
	expect(t, "reason", e.Reason(testTask("j", 7, 1).ID), `quota: queue "q" has its 2 running tasks`)
	e.Release(testTask("j", 5, 1).ID)
	expect(t, "placed after one release", placed(e, 10), "j/a/7@w")
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1, MaxRunning: 5}})
	expect(t, "placed after raising the limit", placed(e, 10), "g/a/0@w g/a/1@w g/a/2@w")
	addAll(e, gangOf("h", 1, 1)...)
	expect(t, "placed of a gang over the limit", placed(e, 10), "")
	expect(t, "reason", e.Reason(record.TaskID{Job: "h", Step: "a"}), `quota: queue "q" has its 5 running tasks, group needs 2`)
	e.Release(testTask("j", 6, 1).ID)
	expect(t, "placed of the gang after one release", placed(e, 10), "")
	e.Release(testTask("j", 7, 1).ID)
	expect(t, "placed of the gang after two releases", placed(e, 10), "h/a/0@w h/a/1@w")
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
	expect(t, "placed up to the team limit", placed(e, 10), "j/a/0@w other/a/0@w j/a/1@w")
	addAll(e, gangOf("g", 1, 1)...)
	expect(t, "reason of a task", e.Reason(record.TaskID{Job: "other", Step: "a", Index: 1}), `quota: team "t" has its 3 running tasks`)
	expect(t, "reason of a gang", e.Reason(record.TaskID{Job: "g", Step: "a"}), `quota: team "t" has its 3 running tasks, group needs 2`)
	e.Release(testTask("j", 0, 1).ID)
	expect(t, "placed after one release", placed(e, 10), "other/a/1@w")
	e.SetQueues([]QueueRule{{Name: "q", Weight: 1}, {Name: "r", Weight: 1, Team: "t"}})
	expect(t, "placed after the queue left the team", placed(e, 10), "g/a/0@w g/a/1@w")
}

// TestQueues_BySlackShareAsOne checks that queues "u1" and "u2" are ordered by Sequence,
// whatever their weights, while their weights are added up against "plain".
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
		{"by Sequence, not by weight", rules(1, 9, 1), []string{"u1", "u1", "u1", "u2"}, "u1 u1 u1 u2"},
		{"weights are added up against a plain queue", rules(1, 2, 1), []string{"u1", "u2", "u1", "u2", "u1", "u2", "plain", "plain"}, "u1 plain u2 u1 u2 plain u1 u2"},
		{"queues without tasks do not count", rules(1, 9, 2), []string{"u1", "u1", "u1", "plain", "plain", "plain"}, "u1 plain plain u1 plain u1"},
		{"only plain queues", rules(1, 1, 1), []string{"plain", "plain"}, "plain plain"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(testWorker("w", cpu(1000)))
			e.SetQueues(c.rules)
			expect(t, "order", queueOrder(e, c.queues), c.want)
		})
	}
}

// queueOrder adds a task of each queue with Sequence 0, 1, ... and returns the queues in
// the order in which their tasks are placed.
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

// TestDeference_OverloadedQueueDefers checks the order in which queues are served when
// all tasks of "burst" have a lower Sequence than those of "calm".
func TestDeference_OverloadedQueueDefers(t *testing.T) {
	rules := func(burst, calm int) []QueueRule {
		return []QueueRule{{Name: "burst", Weight: burst, BySlack: true}, {Name: "calm", Weight: calm, BySlack: true}}
	}
	cases := []struct {
		name      string
		rules     []QueueRule
		deferring []string
		queues    []string // of tasks with Sequence 0, 1, ...
		want      string
	}{
		{"no queue defers", rules(1, 1), nil, []string{"burst", "burst", "burst", "calm", "calm"}, "burst burst burst calm calm"},
		{"equal shares while calm has waiting tasks", rules(1, 1), []string{"burst"}, []string{"burst", "burst", "burst", "burst", "calm", "calm"}, "burst calm burst calm burst burst"},
		{"a larger weight gives a larger share", rules(3, 1), []string{"burst"}, []string{"burst", "burst", "burst", "burst", "calm", "calm"}, "burst calm burst burst burst calm"},
		{"without other tasks it gets everything", rules(1, 1), []string{"burst"}, []string{"burst", "burst", "burst"}, "burst burst burst"},
		{"a queue below its share is ordered by Sequence", rules(1, 1), []string{"calm"}, []string{"burst", "burst", "calm", "calm"}, "burst burst calm calm"},
		{"both defer and are ordered by share", rules(1, 1), []string{"burst", "calm"}, []string{"burst", "burst", "calm", "calm"}, "burst calm burst calm"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(testWorker("w", cpu(1000)))
			e.SetQueues(c.rules)
			e.SetDeferences(deferToAll(c.rules, c.deferring))
			expect(t, "order", queueOrder(e, c.queues), c.want)
		})
	}
}

// deferToAll returns deferences of each of the queues to all other queues of the rules.
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
