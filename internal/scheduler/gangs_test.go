package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

func TestGang_LostAssignmentRequeuesWholeGang(t *testing.T) {
	h := newHarness(t)
	first, second := h.worker("a", "a-1"), h.worker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8) // fills both workers
	gang.Together = true
	h.submit("g", gang)
	if answer := first.exchange(); len(answer.Start) != 4 {
		t.Fatalf("want 4 members here, got %+v", answer.Start)
	}
	if answer, err := second.send(); err != nil || len(answer.Start) != 4 {
		t.Fatalf("want 4 members there, got %+v, %v", answer, err)
	}
	second.exchange() // shows that the answer before was not accepted
	if answer := first.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("want the 4 started members stopped, got %+v", answer)
	}
	if answer := second.exchange(); len(answer.Start) != 0 {
		t.Fatalf("members started alone: %+v", answer.Start)
	}
	first.end(api.OutcomeStopped)
	first.exchange()
	again := len(first.exchange().Start) + len(second.exchange().Start)
	if again != 8 {
		t.Errorf("want all 8 members together again, got %d", again)
	}
}

// responsive is a set of workers that all respond soon, or none of which does.
type responsive bool

func (r responsive) respondsSoon(*workerEntry, time.Duration) bool { return bool(r) }

// testGang is a gang of two tasks that are due, in a component of its own.
func testGang(c *clock, queue *fakeQueue, ends *fakeEnder, workers responsive) (*gangs, []*waitingTask) {
	component := newGangs(testTerm(c, queue), ends, workers, make(failedWorkers))
	step := &record.Step{Spec: &api.StepSpec{Together: true}}
	var members []*waitingTask
	for index := range 2 {
		id := record.TaskID{Job: "g", Step: "s", Index: index}
		step.Tasks = append(step.Tasks, &record.Task{ID: id, Step: step, State: record.TaskReady})
		entry := &waitingTask{task: placement.Task{ID: id}, step: id.StepID(), due: true}
		members = append(members, entry)
	}
	for _, entry := range members {
		component.join(entry, step)
	}
	return &component, members
}

func TestGangs_MembersAreOfferedOnceAllAreDue(t *testing.T) {
	queue := newFakeQueue()
	component, members := testGang(&clock{now: time.Hour}, queue, &fakeEnder{}, true)
	gang := component.find(members[0].step)
	members[1].due = false
	component.offer(gang)
	if len(queue.waiting) != 0 {
		t.Errorf("%d members offered before all are due", len(queue.waiting))
	}
	members[1].due = true
	component.offer(gang)
	if len(queue.waiting) != 2 || queue.waiting[0].GangSize != gang.size {
		t.Errorf("offered %+v, want both members as one gang", queue.waiting)
	}
}

func TestGangs_LossBeforeAllStartedBreaksGang(t *testing.T) {
	for _, c := range []struct {
		name       string
		allStarted bool
		stopped    int
	}{{"one has not started", false, 1}, {"all have started", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			ends := &fakeEnder{}
			component, members := testGang(&clock{now: time.Hour}, newFakeQueue(), ends, true)
			gang := component.find(members[0].step)
			var runs []*runState
			for _, entry := range members {
				run := &runState{placedRun: placedRun{id: record.RunID{Task: entry.task.ID, Number: 1}, step: entry.step, inGang: true}}
				delete(gang.ready, entry.task.ID)
				gang.open[run] = c.allStarted
				runs = append(runs, run)
			}
			step := &record.Step{Spec: &api.StepSpec{Together: true}}
			component.runClosed(runs[0], api.OutcomeLost, step)
			if len(ends.stopped) != c.stopped || gang.broken == c.allStarted {
				t.Errorf("%d stopped, broken %t", len(ends.stopped), gang.broken)
			}
		})
	}
}
