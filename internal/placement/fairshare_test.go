package placement

import (
	"strings"
	"testing"
)

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
