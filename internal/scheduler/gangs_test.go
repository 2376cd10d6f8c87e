package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

func TestGang_LostAssignmentRequeuesGang(t *testing.T) {
	h := newHarness(t)
	first, second := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	first.exchange()
	second.exchange()
	gang := tasks(8) // fills both workers
	gang.Together = true
	h.submit("g", gang)
	if answer := first.exchange(); len(answer.Start) != 4 {
		t.Fatalf("got %+v, want 4 members assigned to worker a", answer.Start)
	}
	if answer, err := second.send(); err != nil || len(answer.Start) != 4 {
		t.Fatalf("got %+v, %v, want 4 members assigned to worker b", answer, err)
	}
	second.exchange() // shows that the previous answer was not accepted
	if answer := first.exchange(); len(answer.Stop) != 4 {
		t.Fatalf("got %+v, want the 4 started members stopped", answer)
	}
	if answer := second.exchange(); len(answer.Start) != 0 {
		t.Fatalf("got %+v, want no member assigned before the others were stopped", answer.Start)
	}
	first.endAllRuns(api.OutcomeStopped)
	first.exchange()
	again := len(first.exchange().Start) + len(second.exchange().Start)
	if again != 8 {
		t.Errorf("got %d assignments, want all 8 members assigned again", again)
	}
}

// fixedResponsiveness answers respondsSoon with its value for every worker.
type fixedResponsiveness bool

func (r fixedResponsiveness) respondsSoon(*workerEntry, time.Duration) bool { return bool(r) }

// testGang returns a gangs component with a gang of two due tasks, and the two tasks.
func testGang(c *clock, queue *fakePlanner, ends *fakeRunEnder, workers fixedResponsiveness) (*gangs, []*waitingTask) {
	component := newGangs(newTestTerm(c, queue), ends, workers, make(failedWorkers))
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
	queue := newFakePlanner()
	component, members := testGang(&clock{now: time.Hour}, queue, &fakeRunEnder{}, true)
	gang := component.find(members[0].step)
	members[1].due = false
	component.offer(gang)
	if len(queue.waiting) != 0 {
		t.Errorf("got %d members offered before all are due, want 0", len(queue.waiting))
	}
	members[1].due = true
	component.offer(gang)
	if len(queue.waiting) != 2 || queue.waiting[0].GangSize != gang.size {
		t.Errorf("got %+v offered, want both members as one gang", queue.waiting)
	}
}

func TestGangs_LossBeforeAllStartedBreaksGang(t *testing.T) {
	for _, c := range []struct {
		name       string
		allStarted bool
		stopped    int
	}{{"one has not started", false, 1}, {"all have started", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			ends := &fakeRunEnder{}
			component, members := testGang(&clock{now: time.Hour}, newFakePlanner(), ends, true)
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
				t.Errorf("got %d runs stopped, broken %t; want the other member stopped only if not all had started", len(ends.stopped), gang.broken)
			}
		})
	}
}
