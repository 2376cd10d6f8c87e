package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/record"
)

func testRunID() record.RunID {
	return record.RunID{Task: record.TaskID{Job: "j", Step: "s", Index: 0}, Number: 2}
}

// health is what reconcile decided about the one run of a test.
type verdict struct {
	Started, Lost, Dropped, Unwanted, Ended, Late int
}

func TestReconcile_OneRun(t *testing.T) {
	reference := api.RunRef{Task: "j/s/0", Run: 2}
	running := []api.RunRef{reference}
	ended := []api.EndedRun{{RunRef: reference, Outcome: api.OutcomeSucceeded}}
	tests := []struct {
		name      string
		run       *runState // nil: the record has no such run open here
		heartbeat api.Heartbeat
		want      verdict
	}{
		{"placed and not ordered stays", &runState{}, api.Heartbeat{Seq: 5, AcceptedSeq: 4}, verdict{}},
		{"inherited and unlisted is lost", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader}}, api.Heartbeat{Seq: 5, AcceptedSeq: 4}, verdict{Lost: 1}},
		{"inherited and running has started", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader}}, api.Heartbeat{Seq: 5, Running: running}, verdict{Started: 1}},
		{"answer not accepted is lost", &runState{assignment: assignmentState{seq: 4}}, api.Heartbeat{Seq: 5, AcceptedSeq: 3}, verdict{Lost: 1}},
		{"accepted and unlisted must be stopped first", &runState{assignment: assignmentState{seq: 4}}, api.Heartbeat{Seq: 5, AcceptedSeq: 4}, verdict{Dropped: 1}},
		{"stop not accepted yet keeps it dropped", &runState{assignment: assignmentState{seq: 4, droppedSeq: 5}}, api.Heartbeat{Seq: 6, AcceptedSeq: 4}, verdict{Dropped: 1}},
		{"stop accepted and still unlisted is lost", &runState{assignment: assignmentState{seq: 4, droppedSeq: 5}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5}, verdict{Lost: 1}},
		{"listed before and vanished must be stopped first", &runState{assignment: assignmentState{placedBy: placedByEarlierLeader}, observed: observedRun{listed: true}}, api.Heartbeat{Seq: 9, AcceptedSeq: 8}, verdict{Dropped: 1}},
		{"older heartbeat than the order concludes nothing", &runState{assignment: assignmentState{seq: 7}}, api.Heartbeat{Seq: 7, AcceptedSeq: 6}, verdict{}},
		{"running and listed already changes nothing", &runState{assignment: assignmentState{seq: 4}, observed: observedRun{listed: true}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5, Running: running}, verdict{}},
		{"ended is reported", &runState{assignment: assignmentState{seq: 4}}, api.Heartbeat{Seq: 6, AcceptedSeq: 5, Ended: ended}, verdict{Started: 1, Ended: 1}},
		{"not open but running is unwanted", nil, api.Heartbeat{Seq: 6, Running: running}, verdict{Unwanted: 1}},
		{"not open but ended is still reported", nil, api.Heartbeat{Seq: 6, Ended: ended}, verdict{Late: 1}},
		{"being closed and running is unwanted", &runState{assignment: assignmentState{seq: 4}, closing: true}, api.Heartbeat{Seq: 6, Running: running}, verdict{Unwanted: 1}},
		{"being closed and unlisted changes nothing", &runState{assignment: assignmentState{seq: 4}, closing: true}, api.Heartbeat{Seq: 6, AcceptedSeq: 2}, verdict{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs := map[record.RunID]*runState{}
			if test.run != nil {
				test.run.id = testRunID()
				runs[test.run.id] = test.run
			}
			result := reconcile(runs, test.heartbeat)
			got := verdict{
				Started: len(result.started), Lost: len(result.lost), Dropped: len(result.dropped),
				Unwanted: len(result.unwanted), Ended: len(result.ended), Late: len(result.late),
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReconcile_UnreadableNames(t *testing.T) {
	bad := api.RunRef{Task: "not-a-task", Run: 1}
	heartbeat := api.Heartbeat{Seq: 2, Running: []api.RunRef{bad}, Ended: []api.EndedRun{{RunRef: bad, Outcome: api.OutcomeFailed}}}
	result := reconcile(nil, heartbeat)
	if len(result.unwanted) != 1 || len(result.unreadable) != 1 || len(result.ended) != 0 {
		t.Errorf("unwanted %v, unreadable %v, ended %v", result.unwanted, result.unreadable, result.ended)
	}
}

func TestReconcile_NewTermUsesWhatWorkersList(t *testing.T) {
	h := newHarness(t)
	keeper, dropper := h.worker("a", "a-1"), h.worker("b", "b-1")
	keeper.exchange()
	h.submit("kept", tasks(4))
	keeper.exchange()
	dropper.exchange()
	h.submit("unordered", tasks(1)) // placed on b, whose order the old leader has not given
	h.newTerm()
	if answer := keeper.exchange(); len(answer.Stop) != 0 || len(answer.Start) != 0 {
		t.Errorf("runs that go on were touched: %+v", answer)
	}
	dropper.exchange() // in neither list: lost at once, without waiting for the lease
	answer := dropper.exchange()
	if len(answer.Start) != 1 || answer.Start[0].Task != "unordered/s/0" || answer.Start[0].Run != 2 {
		t.Errorf("want run 2 of the unordered task, got %+v", answer.Start)
	}
}
