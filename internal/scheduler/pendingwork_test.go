package scheduler

import (
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/placement"
	"github.com/decklever/decklever/internal/record"
)

// backlogCount counts what pending work reports of one queue.
type backlogCount struct{ waiting, started int }

func (b *backlogCount) CountWaiting(_ string, change int) { b.waiting += change }

func (b *backlogCount) CountStarted(string) { b.started++ }

func newTestPendingWork(queue *fakeQueue, backlog *backlogCount) *pendingWork {
	pending := newPendingWork(testTerm(&clock{now: time.Hour}, queue), backlog)
	return &pending
}

func TestPendingWork_BacklogCountsDueTasksOnly(t *testing.T) {
	backlog := &backlogCount{}
	pending := newTestPendingWork(newFakeQueue(), backlog)
	due := &waitingTask{task: placement.Task{ID: testTask()}, due: true}
	pending.add(due)
	later := &waitingTask{task: placement.Task{ID: record.TaskID{Job: "later"}}, notBefore: 10}
	pending.add(later)
	if backlog.waiting != 1 {
		t.Errorf("%d counted, want the one that is due", backlog.waiting)
	}
	if entry := pending.becomeDue(later.task.ID, 9); entry != nil || later.due {
		t.Error("due before its time")
	}
	if entry := pending.becomeDue(later.task.ID, 10); entry != later || backlog.waiting != 2 {
		t.Errorf("due at its time: %v, %d counted", entry, backlog.waiting)
	}
	pending.placed(due.task.ID)
	pending.remove(later.task.ID)
	if backlog.waiting != 0 || backlog.started != 1 || len(pending.waiting) != 0 {
		t.Errorf("%d counted, %d started, %d wait", backlog.waiting, backlog.started, len(pending.waiting))
	}
}

func TestPendingWork_TaskBeingPlacedIsNotOffered(t *testing.T) {
	queue := newFakeQueue()
	pending := newTestPendingWork(queue, &backlogCount{})
	entry := &waitingTask{
		task: placement.Task{ID: testTask(), Spec: &api.TaskSpec{}, Preferences: &placement.Preferences{}}, due: true,
	}
	pending.add(entry)
	entry.placing = true
	pending.offer(entry)
	if len(queue.waiting) != 0 {
		t.Error("offered while it is being placed")
	}
	if rejected := pending.rejected(testTask()); rejected != entry || entry.placing {
		t.Errorf("rejected: %v, placing %t", rejected, entry.placing)
	}
	pending.offer(entry)
	if len(queue.waiting) != 1 {
		t.Errorf("%d tasks offered, want 1", len(queue.waiting))
	}
}

func TestPendingWork_PreemptionIsTakenOnce(t *testing.T) {
	pending := newTestPendingWork(newFakeQueue(), &backlogCount{})
	pending.preemptOnOpen[testTask()] = true
	if !pending.takePreempted(testTask()) || pending.takePreempted(testTask()) {
		t.Error("want one preemption")
	}
}
