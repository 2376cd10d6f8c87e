package worker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
)

// runningSession returns a session with count open runs, of the tasks "j/s/0",
// "j/s/1" and so on.
func runningSession(t *testing.T, count int) *session {
	t.Helper()
	s := testSession()
	var orders []api.StartOrder
	for i := range count {
		orders = append(orders, order(fmt.Sprintf("j/s/%d", i), 1))
	}
	deliver(t, s, 0, 1, orders...)
	return s
}

func TestProgress_SentUntilConfirmed(t *testing.T) {
	s := runningSession(t, 2)
	run := s.running[ref("j/s/0", 1)]
	sent := func(accept bool, token uint64) []api.RunProgress {
		heartbeat := s.nextHeartbeat(0)
		if !accept {
			s.abandonHeartbeat()
		} else if _, err := s.accept(0, answerTo(heartbeat, token)); err != nil {
			t.Fatal(err)
		}
		return heartbeat.Progress
	}
	if got := sent(true, 1); len(got) != 0 {
		t.Fatalf("progress sent before the first report: got %+v, want none", got)
	}
	run.progress.set(130, "a")
	if got := sent(true, 1); len(got) != 1 || got[0] != (api.RunProgress{RunRef: ref("j/s/0", 1), Percent: 100, Checkpoint: "a"}) {
		t.Fatalf("progress sent: got %+v, want percent 100 and checkpoint a of j/s/0", got)
	}
	steps := []struct {
		name   string
		accept bool
		token  uint64
		want   int
	}{
		{"already confirmed", false, 0, 0},
		{"after a failed heartbeat", true, 1, 1},
		{"already confirmed, answer with a new token", true, 2, 0},
		{"after the token changed", true, 2, 1},
		{"confirmed under the new token", true, 2, 0},
	}
	for _, step := range steps {
		if got := sent(step.accept, step.token); len(got) != step.want {
			t.Fatalf("%s: got progress %+v, want the number of entries in the step", step.name, got)
		}
	}
	run.progress.set(7, "")
	if got := sent(true, 2); len(got) != 1 || got[0].Checkpoint != "a" || got[0].Percent != 7 {
		t.Errorf("progress sent: got %+v, want percent 7 with checkpoint a", got)
	}
}

func TestProgress_ManyRunsAreSentInTurnWithinLimit(t *testing.T) {
	const runs = 40
	s := runningSession(t, runs)
	sent := map[api.RunRef]bool{}
	for range runs * api.MaxCheckpointBytes / maxProgressBytes {
		for _, run := range s.running {
			run.progress.set(1, strings.Repeat("x", api.MaxCheckpointBytes))
		}
		heartbeat := s.nextHeartbeat(0)
		if size := len(heartbeat.Progress) * api.MaxCheckpointBytes; size > maxProgressBytes {
			t.Fatalf("checkpoints in one heartbeat: got %d bytes, want at most maxProgressBytes", size)
		}
		for _, progress := range heartbeat.Progress {
			sent[progress.RunRef] = true
		}
		if _, err := s.accept(0, answerTo(heartbeat, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if len(sent) != runs {
		t.Errorf("runs whose progress was sent: got %d, want %d", len(sent), runs)
	}
}

func TestSession_DeferredReportsStayListedAsRunning(t *testing.T) {
	const runs = 60
	s := runningSession(t, runs)
	for _, open := range s.runningRefs() {
		s.endRun(api.EndedRun{RunRef: open, Outcome: api.OutcomeStopped, Checkpoint: strings.Repeat("x", api.MaxCheckpointBytes)})
	}
	reported := 0
	for s.reportsDeferred = true; s.reportsDeferred; {
		heartbeat := s.nextHeartbeat(0)
		if len(heartbeat.Ended)*api.MaxCheckpointBytes > maxReportBytes || len(heartbeat.Ended) == 0 {
			t.Fatalf("reports in one heartbeat: got %d, want at least 1 and at most maxReportBytes in total", len(heartbeat.Ended))
		}
		if listed := len(heartbeat.Ended) + len(heartbeat.Running); listed != runs-reported {
			t.Fatalf("runs listed as ended or running: got %d, want %d", listed, runs-reported)
		}
		answer := answerTo(heartbeat, 1)
		for _, ended := range heartbeat.Ended {
			answer.Acknowledged = append(answer.Acknowledged, ended.RunRef)
		}
		reported += len(heartbeat.Ended)
		if _, err := s.accept(0, answer); err != nil {
			t.Fatal(err)
		}
	}
	if reported != runs || len(s.ended) != 0 {
		t.Errorf("got %d reports, want %d; got %d unacknowledged, want 0", reported, runs, len(s.ended))
	}
}

func TestTaskReport_InvalidCheckpointIsRejected(t *testing.T) {
	resumable := Task{Spec: api.TaskSpec{Resumable: true}, progress: &progress{}}
	cases := []struct {
		name       string
		task       Task
		checkpoint string
		want       error
	}{
		{"none", Task{}, "", nil},
		{"not resumable", Task{}, "a", ErrNotResumable},
		{"maximum length", resumable, strings.Repeat("x", api.MaxCheckpointBytes), nil},
		{"too long", resumable, strings.Repeat("x", api.MaxCheckpointBytes+1), ErrCheckpoint},
		{"not UTF-8", resumable, "\xff", ErrCheckpoint},
	}
	for _, c := range cases {
		if err := c.task.Report(1, c.checkpoint); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want the error of the case", c.name, err)
		}
	}
	if _, checkpoint, changes := resumable.progress.get(); changes != 1 || len(checkpoint) != api.MaxCheckpointBytes {
		t.Errorf("got %d changes and a checkpoint of %d bytes, want 1 change and api.MaxCheckpointBytes", changes, len(checkpoint))
	}
}

func TestTask_RunResumesFromCheckpointAndReportsNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{}
		received := make(chan string, 1)
		w, err := New(Config{Name: "w", AgentURL: "http://agent:1", HTTPClient: &http.Client{Transport: agent}})
		if err != nil {
			t.Fatal(err)
		}
		w.Handle("save", func(ctx context.Context, task Task) error {
			received <- task.Checkpoint
			if err := task.Report(50, "half"); err != nil {
				return err
			}
			<-ctx.Done()
			return errors.Join(task.Report(60, "at the stop"), context.Cause(ctx))
		})
		start := orderFor("save", "j/s/0")
		start.Spec.Resumable = true
		start.Checkpoint = "before"
		agent.set(func() { agent.orders = []api.StartOrder{start} })
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- w.Run(ctx) }()
		time.Sleep(time.Second)
		if got := <-received; got != "before" {
			t.Errorf("checkpoint of the task: got %q, want \"before\"", got)
		}
		cancel()
		if err := <-result; err != nil {
			t.Fatal(err)
		}
		var sent, reported string
		for _, heartbeat := range agent.heartbeats {
			for _, progress := range heartbeat.Progress {
				sent = progress.Checkpoint
			}
			for _, ended := range heartbeat.Ended {
				reported = ended.Checkpoint
			}
		}
		if sent != "half" || reported != "at the stop" {
			t.Errorf("checkpoints: got %q as progress and %q in the report, want \"half\" and \"at the stop\"", sent, reported)
		}
	})
}
