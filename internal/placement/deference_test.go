package placement

import (
	"testing"

	"github.com/decklever/decklever/api"
)

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

// deferToAll has queues yield to all others.
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

func TestEngine_HasFreeCapacity(t *testing.T) {
	worker := testWorker("w", cpu(4))
	worker.Services = []string{"s"}
	worker.Labels = map[string]string{"kind": "a"}
	e := newEngine(worker)
	held := testTask("j", 0, 3)
	e.AddRun(held, "w-1")
	spec := func(need int64, service string, labels map[string]string) *api.TaskSpec {
		return &api.TaskSpec{Service: service, Resources: cpu(need), Labels: labels}
	}
	cases := []struct {
		name string
		spec *api.TaskSpec
		want bool
	}{
		{"what is left", spec(1, "s", nil), true},
		{"more than is left", spec(2, "s", nil), false},
		{"with the label", spec(1, "s", map[string]string{"kind": "a"}), true},
		{"with another label", spec(1, "s", map[string]string{"kind": "b"}), false},
		{"of another service", spec(1, "other", nil), false},
	}
	for _, c := range cases {
		if got := e.HasFreeCapacity(c.spec); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	for name, change := range map[string]func(*Worker){
		"not usable":   func(w *Worker) { w.Usable = false },
		"held back":    func(w *Worker) { w.Suspect = true },
		"on probation": func(w *Worker) { w.Probation = true },
	} {
		changed := worker
		change(&changed)
		e.SetWorker(changed)
		if e.HasFreeCapacity(cases[0].spec) {
			t.Errorf("a worker that is %s has room", name)
		}
	}
}
