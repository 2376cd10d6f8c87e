package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// fakeBacklog is a backlogObserver that sums the reported counts of all queues.
type fakeBacklog struct{ waiting, started int }

func (b *fakeBacklog) CountWaiting(_ string, change int) { b.waiting += change }

func (b *fakeBacklog) CountStarted(string) { b.started++ }

func newTestPendingWork(queue *fakePlanner, backlog *fakeBacklog) *pendingWork {
	pending := newPendingWork(newTestTerm(&clock{now: time.Hour}, queue), backlog)
	return &pending
}

func TestPendingWork_BacklogCountsDueTasksOnly(t *testing.T) {
	backlog := &fakeBacklog{}
	pending := newTestPendingWork(newFakePlanner(), backlog)
	due := &waitingTask{task: placement.Task{ID: testTask()}, due: true}
	pending.add(due)
	later := &waitingTask{task: placement.Task{ID: record.TaskID{Job: "later"}}, notBefore: 10}
	pending.add(later)
	if backlog.waiting != 1 {
		t.Errorf("got backlog %d, want 1: the due task", backlog.waiting)
	}
	if entry := pending.becomeDue(later.task.ID, 9); entry != nil || later.due {
		t.Error("got the task due at 9, want it due at 10")
	}
	if entry := pending.becomeDue(later.task.ID, 10); entry != later || backlog.waiting != 2 {
		t.Errorf("at 10: got task %v and backlog %d, want the task due and 2", entry, backlog.waiting)
	}
	pending.setPlaced(due.task.ID)
	pending.remove(later.task.ID)
	if backlog.waiting != 0 || backlog.started != 1 || len(pending.waiting) != 0 {
		t.Errorf("got backlog %d, %d started, %d waiting, want 0, 1, 0", backlog.waiting, backlog.started, len(pending.waiting))
	}
}

func TestPendingWork_TaskBeingPlacedIsNotOffered(t *testing.T) {
	queue := newFakePlanner()
	pending := newTestPendingWork(queue, &fakeBacklog{})
	entry := &waitingTask{
		task: placement.Task{ID: testTask(), Spec: &api.TaskSpec{}, Preferences: &placement.Preferences{}}, due: true,
	}
	pending.add(entry)
	entry.placing = true
	pending.offer(entry)
	if len(queue.waiting) != 0 {
		t.Error("task was offered while its placement is being committed")
	}
	if rejected := pending.setRejected(testTask()); rejected != entry || entry.placing {
		t.Errorf("got rejected task %v, placing %t, want the task and false", rejected, entry.placing)
	}
	pending.offer(entry)
	if len(queue.waiting) != 1 {
		t.Errorf("got %d tasks offered, want 1", len(queue.waiting))
	}
}

func TestPendingWork_PreemptionIsTakenOnce(t *testing.T) {
	pending := newTestPendingWork(newFakePlanner(), &fakeBacklog{})
	pending.preemptOnOpen[testTask()] = true
	if !pending.takePreempted(testTask()) || pending.takePreempted(testTask()) {
		t.Error("want takePreempted to return true once and then false")
	}
}
