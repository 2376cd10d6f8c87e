package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

// testToken is the token of the leader that reconciles.
const testToken = 7

func testRunID() record.RunID {
	return record.RunID{Task: record.TaskID{Job: "j", Step: "s", Index: 0}, Number: 2}
}

// differenceCounts holds the number of differences of each kind that reconcile returned for
// the one run of a test.
type differenceCounts struct {
	Started, Lost, Dropped, Unwanted, Ended, Late int
}

func TestReconcile_OneRun(t *testing.T) {
	reference := api.RunRef{Task: "j/s/0", Run: 2}
	running := []api.RunRef{reference}
	ended := []api.EndedRun{{RunRef: reference, Outcome: api.OutcomeSucceeded}}
	tests := []struct {
		name      string
		run       *runState // nil: the record has no such run open on the worker
		heartbeat api.Heartbeat
		want      differenceCounts
	}{
		{"placed and not assigned stays", &runState{}, api.Heartbeat{Seq: 5, AcceptedSeq: 4}, differenceCounts{}},
		{"inherited and unlisted must be stopped first", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader}}, api.Heartbeat{Seq: 5, AcceptedSeq: 4}, differenceCounts{Dropped: 1}},
		{"inherited, stop not accepted yet, stays dropped", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader, droppedSeq: 5}}, api.Heartbeat{Seq: 7, AcceptedSeq: 4}, differenceCounts{Dropped: 1}},
		{"inherited, stop accepted and still unlisted, is lost", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader, droppedSeq: 5}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5}, differenceCounts{Lost: 1}},
		{"inherited, answer of an earlier leader accepted, stays dropped", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader, droppedSeq: 5}}, api.Heartbeat{Seq: 9, AcceptedSeq: 8, AcceptedToken: testToken - 1}, differenceCounts{Dropped: 1}},
		{"inherited, stop of this leader accepted, is lost", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader, droppedSeq: 5}}, api.Heartbeat{Seq: 9, AcceptedSeq: 8, AcceptedToken: testToken}, differenceCounts{Lost: 1}},
		{"inherited, stop accepted but running, has started", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader, droppedSeq: 5}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5, Running: running}, differenceCounts{Started: 1}},
		{"inherited and running has started", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader}}, api.Heartbeat{Seq: 5, Running: running}, differenceCounts{Started: 1}},
		{"answer not accepted is lost", &runState{assignment: assignmentState{seq: 4}}, api.Heartbeat{Seq: 5, AcceptedSeq: 3}, differenceCounts{Lost: 1}},
		{"accepted and unlisted must be stopped first", &runState{assignment: assignmentState{seq: 4}}, api.Heartbeat{Seq: 5, AcceptedSeq: 4}, differenceCounts{Dropped: 1}},
		{"stop not accepted yet keeps it dropped", &runState{assignment: assignmentState{seq: 4, droppedSeq: 5}}, api.Heartbeat{Seq: 6, AcceptedSeq: 4}, differenceCounts{Dropped: 1}},
		{"stop accepted and still unlisted is lost", &runState{assignment: assignmentState{seq: 4, droppedSeq: 5}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5}, differenceCounts{Lost: 1}},
		{"listed before and unlisted now must be stopped first", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader}, observed: observedRun{listed: true}}, api.Heartbeat{Seq: 9, AcceptedSeq: 8}, differenceCounts{Dropped: 1}},
		{"heartbeat not newer than the assignment changes nothing", &runState{assignment: assignmentState{seq: 7}}, api.Heartbeat{Seq: 7, AcceptedSeq: 6}, differenceCounts{}},
		{"running and listed already changes nothing", &runState{assignment: assignmentState{seq: 4}, observed: observedRun{listed: true}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5, Running: running}, differenceCounts{}},
		{"ended is reported", &runState{assignment: assignmentState{seq: 4}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5, Ended: ended}, differenceCounts{Started: 1, Ended: 1}},
		{"not open but running is unwanted", nil, api.Heartbeat{Seq: 6, Running: running}, differenceCounts{Unwanted: 1}},
		{"not open but ended is still reported", nil, api.Heartbeat{Seq: 6, Ended: ended}, differenceCounts{Late: 1}},
		{"being closed and running is unwanted", &runState{assignment: assignmentState{seq: 4}, closing: true}, api.Heartbeat{Seq: 6, Running: running}, differenceCounts{Unwanted: 1}},
		{"being closed and unlisted changes nothing", &runState{assignment: assignmentState{seq: 4}, closing: true}, api.Heartbeat{Seq: 6, AcceptedSeq: 2}, differenceCounts{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs := map[record.RunID]*runState{}
			if test.run != nil {
				test.run.id = testRunID()
				runs[test.run.id] = test.run
			}
			result := reconcile(runs, test.heartbeat, testToken)
			got := differenceCounts{
				Started: len(result.started), Lost: len(result.lost), Dropped: len(result.dropped),
				Unwanted: len(result.unwanted), Ended: len(result.ends), Late: len(result.lateEnds),
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("differences (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReconcile_UnreadableNames(t *testing.T) {
	unreadable := api.RunRef{Task: "not-a-task", Run: 1}
	heartbeat := api.Heartbeat{Seq: 2, Running: []api.RunRef{unreadable}, Ended: []api.EndedRun{{RunRef: unreadable, Outcome: api.OutcomeFailed}}}
	result := reconcile(nil, heartbeat, testToken)
	if len(result.unwanted) != 1 || len(result.unreadable) != 1 || len(result.ends) != 0 {
		t.Errorf("got unwanted %v, unreadable %v, ends %v; want one unwanted, one unreadable, no end", result.unwanted, result.unreadable, result.ends)
	}
}

// TestReconcile_LateHeartbeatInNewTermGivesUpNoRun guards against running a task twice: the
// heartbeats were sent before the one whose answer assigned the run, and come to a new leader
// that knows neither.
func TestReconcile_LateHeartbeatInNewTermGivesUpNoRun(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	var late []api.Heartbeat
	for range 2 {
		worker.heartbeat.Seq++
		late = append(late, worker.heartbeat)
	}
	h.submit("j", tasks(1))
	worker.exchange()
	h.newTerm()
	for _, heartbeat := range late {
		_, _ = h.deliver(t.Context(), heartbeat) // the worker accepts no answer to it
	}
	h.settle()
	if task := h.task("j", 0); task.Run != 1 || task.State != api.StateRunning {
		t.Errorf("got %+v after late heartbeats, want run 1 open", task)
	}
	if answer := worker.exchange(); len(answer.Stop)+len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start and no stop for the run that continues", answer)
	}
}

// TestReconcile_RelistedRunIsStoppedAnew: a stop that the worker accepted before it listed the
// run proves nothing about a later heartbeat that does not list it.
func TestReconcile_RelistedRunIsStoppedAnew(t *testing.T) {
	h := newHarness(t)
	worker := h.runningOne()
	running := worker.heartbeat.Running
	worker.heartbeat.Running = nil
	if answer := worker.exchange(); len(answer.Stop) != 1 {
		t.Fatalf("got %+v, want a stop for the run that is not listed", answer)
	}
	worker.heartbeat.Running = running
	worker.exchange()
	worker.heartbeat.Running = nil
	if answer := worker.exchange(); len(answer.Stop) != 1 {
		t.Errorf("got %+v, want another stop, and the run open", answer)
	}
	if task := h.task("j", 0); task.Run != 1 {
		t.Errorf("got %+v, want run 1 open", task)
	}
}

// TestReconcile_RestartedSeqInNewTerm: a worker that numbers its heartbeats from 1 again under
// the same id, after a change of leader, keeps what it lists and gets again what it lost.
func TestReconcile_RestartedSeqInNewTerm(t *testing.T) {
	h := newHarness(t)
	worker := h.startRunning("w", 2)
	worker.exchange()
	h.newTerm()
	worker.heartbeat.Seq, worker.heartbeat.AcceptedSeq = 0, 0
	worker.heartbeat.Running = worker.heartbeat.Running[:1]
	kept := worker.heartbeat.Running[0]
	for range 4 {
		worker.exchange()
	}
	if got := len(worker.heartbeat.Running); got != 2 || worker.heartbeat.Running[0] != kept {
		t.Errorf("got running %v, want %v and a new run of the other task", worker.heartbeat.Running, kept)
	}
}

// TestReconcile_IncompleteListOfEndsGivesUpNoRun guards against starting tasks again whose
// ends a worker could not list yet.
func TestReconcile_IncompleteListOfEndsGivesUpNoRun(t *testing.T) {
	for name, newTerm := range map[string]bool{"same leader": false, "new leader": true} {
		h := newHarness(t)
		worker := h.startRunning("w", 4)
		worker.exchange()
		if newTerm {
			h.newTerm()
		}
		unlisted := worker.heartbeat.Running
		worker.heartbeat.Running, worker.heartbeat.EndedIncomplete = nil, true
		for range 3 {
			if answer := worker.exchange(); len(answer.Stop)+len(answer.Start) != 0 {
				t.Fatalf("%s: got %+v, want no start and no stop while ends are missing", name, answer)
			}
		}
		worker.heartbeat.Running, worker.heartbeat.EndedIncomplete = unlisted, false
		worker.endAllRuns(api.OutcomeSucceeded)
		if answer := worker.exchange(); len(answer.Acknowledged) != 4 {
			t.Errorf("%s: got acknowledged %v, want all 4 ends", name, answer.Acknowledged)
		}
		h.wantState("j", api.StateSucceeded)
	}
}

// TestReconcile_CompleteListsAfterIncompleteOnes: an assignment without effect is still found,
// once the worker lists all of its ends.
func TestReconcile_CompleteListsAfterIncompleteOnes(t *testing.T) {
	h := newHarness(t)
	worker := h.newWorker("w", "w-1")
	worker.exchange()
	h.submit("j", tasks(1))
	if answer, err := worker.send(); err != nil || len(answer.Start) != 1 {
		t.Fatalf("got %+v, error %v, want one start in an answer that is lost", answer, err)
	}
	worker.heartbeat.EndedIncomplete = true
	worker.exchange()
	if task := h.task("j", 0); task.Run != 1 || task.State != api.StateRunning {
		t.Errorf("got %+v, want run 1 open while ends are missing", task)
	}
	worker.heartbeat.EndedIncomplete = false
	worker.exchange() // its answer asks the worker to stop the run
	worker.exchange()
	if answer := worker.exchange(); len(answer.Start) != 1 || answer.Start[0].Run != 2 {
		t.Errorf("got %+v, want run 2 assigned", answer.Start)
	}
}

func TestReconcile_NewTermUsesWhatWorkersList(t *testing.T) {
	h := newHarness(t)
	running, empty := h.newWorker("a", "a-1"), h.newWorker("b", "b-1")
	running.exchange()
	h.submit("kept", tasks(4))
	running.exchange()
	empty.exchange()
	h.submit("unassigned", tasks(1)) // placed on b; the old leader has not assigned it yet
	h.newTerm()
	if answer := running.exchange(); len(answer.Stop) != 0 || len(answer.Start) != 0 {
		t.Errorf("got %+v, want no start and no stop for runs that continue", answer)
	}
	if answer := empty.exchange(); len(answer.Stop) != 1 {
		t.Fatalf("got %+v, want a stop for the run in neither list", answer)
	}
	empty.exchange() // accepted the stop: the run is lost, without waiting for the lease
	answer := empty.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Task != "unassigned/s/0" || answer.Start[0].Run != 2 {
		t.Errorf("got %+v, want run 2 of the unassigned task", answer.Start)
	}
}

// TestReconcile_LateHeartbeatOfReplacedIncarnation: a late heartbeat of an incarnation whose
// name another one uses by now gives up none of its runs before its lease has expired.
func TestReconcile_LateHeartbeatOfReplacedIncarnation(t *testing.T) {
	h := newHarness(t)
	earlier := h.newWorker("w", "w-1")
	earlier.exchange()
	earlier.heartbeat.Seq++
	late := earlier.heartbeat
	h.submit("j", tasks(1))
	earlier.exchange()
	h.newTerm()
	later := h.newWorker("w", "w-2")
	later.exchange()
	_, _ = h.deliver(t.Context(), late)
	later.exchange()
	if task := h.task("j", 0); task.Run != 1 || task.State != api.StateRunning {
		t.Errorf("got %+v, want run 1 open while the lease of its worker may last", task)
	}
	for range 4 {
		h.advance((testLease + testDriftMargin) / 2)
		later.exchange()
	}
	if got := later.heartbeat.Running; len(got) != 1 || got[0].Run != 2 {
		t.Errorf("got running %v, want run 2 once the lease has expired", got)
	}
}
