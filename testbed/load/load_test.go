package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
)

func TestPlanner_SameSeedGivesSameValidJobs(t *testing.T) {
	d, err := deployment.New("restrepo", 0)
	if err != nil {
		t.Fatal(err)
	}
	same, repeated, other := newPlanner(7, "short", d.Shapes.Short, true), newPlanner(7, "short", d.Shapes.Short, true), newPlanner(8, "short", d.Shapes.Short, true)
	differs := false
	var totalInterval time.Duration
	const count = 500
	for range count {
		plan := same.next()
		if difference := cmp.Diff(plan, repeated.next(), cmp.AllowUnexported(jobPlan{})); difference != "" {
			t.Fatalf("got another job from the same seed (-first +second): %s", difference)
		}
		differs = differs || plan.interval != other.next().interval
		if problems := api.ValidateJob(plan.id, &plan.spec, &d.Config); len(problems) != 0 {
			t.Fatalf("%s: got problems %v, want a valid job", plan.id, problems)
		}
		totalInterval += plan.interval
	}
	if !differs {
		t.Error("got the same intervals from seeds 7 and 8, want others")
	}
	if rate := count / totalInterval.Seconds(); rate < 11 || rate > 16 {
		t.Errorf("got %.1f jobs per second, want 11 to 16 (drawn at 13.5)", rate)
	}
}

func TestPlanner_DrawsShareOfRarerRules(t *testing.T) {
	d, err := deployment.New("restrepo", 0)
	if err != nil {
		t.Fatal(err)
	}
	const count = 5000
	plain, special := newPlanner(7, "short", d.Shapes.Short, false), newPlanner(7, "short", d.Shapes.Short, true)
	var resent, timed, gangs int
	for range count {
		if plan := plain.next(); plan.timed || plan.spec.Steps[0].Together {
			t.Fatalf("%s: got a timed job or a gang from a planner with allowRareRules false, want neither", plan.id)
		}
		plan := special.next()
		resent += boolToInt(plan.resend)
		timed += boolToInt(plan.timed)
		gangs += boolToInt(plan.spec.Steps[0].Together)
	}
	for name, drawn := range map[string]struct {
		count int
		share float64
	}{"resent": {resent, resendShare}, "timed": {timed, timedShare}, "gangs": {gangs, gangShare}} {
		if share := float64(drawn.count) / count; share < drawn.share/2 || share > 2*drawn.share {
			t.Errorf("%s: got a share of %.3f, want between half and twice %.3f", name, share, drawn.share)
		}
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// fakeFront is a front that accepts every job. A job succeeds at its second poll; a
// cancellation counts as a poll.
type fakeFront struct {
	mutex sync.Mutex
	polls map[string]int
}

func (s *fakeFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, _, cancel := strings.Cut(strings.TrimPrefix(request.URL.Path, "/v1/jobs/"), "/")
	status := api.JobStatus{ID: id, State: api.StateRunning}
	switch {
	case request.Method == http.MethodPut:
		_, known := s.polls[id]
		if !known {
			s.polls[id] = 0
		}
		_ = json.NewEncoder(writer).Encode(api.SubmitAnswer{ID: id, Created: !known})
		return
	case cancel:
		s.polls[id]++
	default:
		s.polls[id]++
	}
	if s.polls[id] > 1 {
		status.State = api.StateSucceeded
		status.Steps = []api.StepStatus{{Name: "s", Tasks: []api.TaskStatus{{Task: id + "/s/0", State: api.StateSucceeded}}}}
	}
	_ = json.NewEncoder(writer).Encode(status)
}

func TestCaller_RecordsEachCall(t *testing.T) {
	server := httptest.NewServer(&fakeFront{polls: map[string]int{}})
	defer server.Close()
	client, err := api.NewClient(api.ClientConfig{Endpoints: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	callLog, err := calllog.Open("")
	if err != nil {
		t.Fatal(err)
	}
	plan := jobPlan{id: "j", resend: true}
	caller := &caller{client: client, callLog: callLog}
	if !caller.submit(t.Context(), plan) {
		t.Fatal("submit: got false, want the job accepted")
	}
	caller.resend(t.Context(), plan)
	if !caller.watch(t.Context(), plan) {
		t.Fatal("watch: got false, want the job final")
	}
	var kinds []calllog.Kind
	entries := callLog.Entries()
	for _, entry := range entries {
		kinds = append(kinds, entry.Kind)
	}
	want := []calllog.Kind{calllog.KindSubmit, calllog.KindSubmit, calllog.KindPoll, calllog.KindPoll}
	if difference := cmp.Diff(want, kinds); difference != "" {
		t.Fatal(difference)
	}
	if !entries[0].Created || entries[1].Created || !entries[1].Resend {
		t.Errorf("got submissions %+v and %+v, want the first to create the job and the second to be a resend", entries[0], entries[1])
	}
	if entries[2].State != api.StateRunning || !cmp.Equal(entries[3].Succeeded, []string{"j/s/0"}) {
		t.Errorf("got polls %+v and %+v, want a running job, then j/s/0 succeeded", entries[2], entries[3])
	}
}

func TestFinish_StopsFollowersWhenContextEnds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	callLog, err := calllog.Open("")
	if err != nil {
		t.Fatal(err)
	}
	d, err := deployment.New("restrepo", 0)
	if err != nil {
		t.Fatal(err)
	}
	generator, err := New(Config{Endpoints: []string{server.URL}, Shapes: d.Shapes, Seed: 1, CallLog: callLog})
	if err != nil {
		t.Fatal(err)
	}
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	generator.Run(cancelledCtx)
	generator.Finish(cancelledCtx)
	if counts := generator.Counts(); counts.Accepted != 0 || counts.Submitted < int64(d.Shapes.UntilCancelledJobs) {
		t.Errorf("got counts %+v, want no job accepted and all jobs that run until cancelled submitted", counts)
	}
}
