package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/record"
)

func TestGang_PlacedOnceComplete(t *testing.T) {
	e := newEngine(testWorker("a", cpu(4)), testWorker("b", cpu(5)))
	members := gangOf("g", 1, 4, 4, 1)
	addAll(e, members[:3]...)
	expect(t, "incomplete gang", placed(e, 10), "")
	expect(t, "reason", e.Reason(members[0].ID), "group has 3 of 4 members")
	e.Add(members[3])
	before := engineState(e)
	expect(t, "no capacity for all", placed(e, 10), "")
	expect(t, "state after the failed attempt", engineState(e), before)
	expect(t, "reason", e.Reason(members[0].ID), "group needs 4 places, 3 free now")
	e.Add(testTask("behind", 9, 1))
	expect(t, "gang does not block others", placed(e, 10), "behind/a/9@a")
	e.Release(testTask("behind", 9, 1).ID)
	e.SetWorker(testWorker("c", cpu(1)))
	expect(t, "complete gang exceeds the limit of the pass", placed(e, 1), "g/a/1@a g/a/2@b g/a/0@b g/a/3@c")
}

func TestGang_QueueAndPassLimits(t *testing.T) {
	e := newEngine(testWorker("a", cpu(9)))
	e.Add(testTask("alone", 0, 1))
	gang := gangOf("g", 1, 1)
	for i := range gang {
		gang[i].Sequence = 1
	}
	addAll(e, gang...)
	e.Add(testTask("later", 2, 1))
	expect(t, "pass ends before the gang", placed(e, 2), "alone/a/0@a")
	expect(t, "next pass starts with the gang", placed(e, 2), "g/a/0@a g/a/1@a")
	one := gangOf("one", 1)[0]
	e.Add(one)
	expect(t, "gang of one", e.Plan(1), []Decision{{Task: one.ID, WorkerID: "a-1", Worker: "a", Gang: "one/a"}})
}

func TestGang_MemberRemovedAndAddedAgain(t *testing.T) {
	e := newEngine(testWorker("a", cpu(9)))
	members := gangOf("g", 5, 5)
	addAll(e, members...)
	expect(t, "no capacity", placed(e, 10), "")
	e.Remove(members[1].ID)
	for _, p := range e.workers.pools {
		expect(t, "unschedulable classes", len(p.waitingClasses), 0)
	}
	e.SetWorker(testWorker("a", cpu(10)))
	expect(t, "incomplete gang", placed(e, 10), "")
	e.Add(members[1])
	expect(t, "complete gang", placed(e, 10), "g/a/0@a g/a/1@a")
}

func TestGang_ActivatedOnceShortageIsFreed(t *testing.T) {
	e := newEngine(testWorker("a", cpu(90)))
	needs := make([]int64, 16)
	for i := range needs {
		needs[i] = 10
	}
	addAll(e, gangOf("g", needs...)...)
	expect(t, "too little capacity", placed(e, 100), "")
	expect(t, "reason", e.Reason(record.TaskID{Job: "g", Step: "a"}), "group needs 16 places, 9 free now")
	e.SetWorker(testWorker("b", cpu(70)))
	expect(t, "members placed", len(e.Plan(100)), 16)
}

// engineState describes the state that a failed attempt must leave unchanged.
func engineState(e *Engine) string {
	var text strings.Builder
	for _, id := range []string{"a-1", "b-1"} {
		w := e.workers.byID[id]
		fmt.Fprintln(&text, id, w.used, w.free, w.freeSize, len(w.runs))
	}
	for _, p := range e.workers.pools {
		for _, w := range p.workers {
			fmt.Fprintln(&text, w.ID)
		}
	}
	fmt.Fprintln(&text, e.queues.GetOrCreate("q").Running(), len(e.runs.steps.byID), len(e.runs.open), e.Waiting())
	return text.String()
}
