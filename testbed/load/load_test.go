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
	same, again, other := newPlanner(7, "short", d.Shapes.Short, true), newPlanner(7, "short", d.Shapes.Short, true), newPlanner(8, "short", d.Shapes.Short, true)
	differs := false
	var length time.Duration
	const count = 500
	for range count {
		one := same.next()
		if difference := cmp.Diff(one, again.next(), cmp.AllowUnexported(jobPlan{})); difference != "" {
			t.Fatalf("the same seed gave another job: %s", difference)
		}
		differs = differs || one.interval != other.next().interval
		if wrong := api.ValidateJob(one.id, &one.spec, &d.Config); len(wrong) != 0 {
			t.Fatalf("%s is not valid: %v", one.id, wrong)
		}
		length += one.interval
	}
	if !differs {
		t.Error("another seed gave the same jobs")
	}
	if rate := count / length.Seconds(); rate < 11 || rate > 16 {
		t.Errorf("%.1f jobs a second, want about 13.5", rate)
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
		if one := plain.next(); one.timed || one.spec.Steps[0].Together {
			t.Fatalf("%s has a rarer rule, which was not allowed", one.id)
		}
		one := special.next()
		resent += ifTrue(one.resend)
		timed += ifTrue(one.timed)
		gangs += ifTrue(one.spec.Steps[0].Together)
	}
	for name, drawn := range map[string]struct {
		count int
		share float64
	}{"resent": {resent, resendShare}, "timed": {timed, timedShare}, "gangs": {gangs, gangShare}} {
		if share := float64(drawn.count) / count; share < drawn.share/2 || share > 2*drawn.share {
			t.Errorf("%s: a share of %.3f, want about %.3f", name, share, drawn.share)
		}
	}
}

func ifTrue(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// standIn is a front that knows every job and lets it end at its second poll.
type standIn struct {
	mutex sync.Mutex
	polls map[string]int
}

func (s *standIn) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
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
	server := httptest.NewServer(&standIn{polls: map[string]int{}})
	defer server.Close()
	client, err := api.NewClient(api.ClientConfig{Endpoints: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	callLog, err := calllog.Open("")
	if err != nil {
		t.Fatal(err)
	}
	one := jobPlan{id: "j", resend: true}
	caller := &caller{client: client, callLog: callLog}
	if !caller.submit(t.Context(), one) {
		t.Fatal("the job was not accepted")
	}
	caller.resend(t.Context(), one)
	if !caller.watch(t.Context(), one) {
		t.Fatal("the job did not end")
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
		t.Errorf("submits are %+v and %+v", entries[0], entries[1])
	}
	if entries[2].State != api.StateRunning || !cmp.Equal(entries[3].Succeeded, []string{"j/s/0"}) {
		t.Errorf("polls are %+v and %+v", entries[2], entries[3])
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
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	generator.Run(ended)
	generator.Finish(ended)
	if counts := generator.Counts(); counts.Accepted != 0 || counts.Submitted < int64(d.Shapes.UntilCancelledJobs) {
		t.Errorf("counts are %+v", counts)
	}
}
