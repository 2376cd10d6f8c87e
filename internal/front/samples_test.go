package front

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

// serveSamples makes the leader answer every method that fronts call with sample data.
func serveSamples(leader *fakeLeader) {
	handleMethod(leader, protocol.MethodSubmit, func(_ context.Context, request protocol.SubmitRequest, _ int) (protocol.SubmitAnswer, error) {
		return protocol.SubmitAnswer{Created: request.ID == "new"}, submitRefusals[request.ID]
	})
	handleMethod(leader, protocol.MethodGetJob, func(_ context.Context, request protocol.GetJobRequest, _ int) (protocol.JobAnswer, error) {
		return sampleStatus(request.ID)
	})
	handleMethod(leader, protocol.MethodCancel, func(_ context.Context, request protocol.CancelRequest, _ int) (protocol.JobAnswer, error) {
		return sampleStatus(request.ID)
	})
	handleMethod(leader, protocol.MethodPutConfig, func(_ context.Context, request protocol.PutConfigRequest, _ int) (protocol.PutConfigAnswer, error) {
		if request.Base != 7 {
			return protocol.PutConfigAnswer{}, apiError(412, api.CodeLostRace, 0)
		}
		return protocol.PutConfigAnswer{Version: 8}, nil
	})
	handleMethod(leader, protocol.MethodListJobs, func(context.Context, protocol.ListJobsRequest, int) (protocol.ListJobsAnswer, error) {
		row := api.JobSummary{ID: "new", Queue: "q", State: api.StateRunning, SubmittedAt: sampleTime, TasksTotal: 2, TasksEnded: 1}
		return protocol.ListJobsAnswer{List: api.JobList{Jobs: []api.JobSummary{row}, NextPageToken: "new"}}, nil
	})
	serveAnswer[protocol.ValidateConfigRequest](leader, protocol.MethodValidateConfig, protocol.Empty{})
	serveAnswer[protocol.Empty](leader, protocol.MethodGetConfig, protocol.ConfigAnswer{Status: api.ConfigStatus{Version: 7, Config: sampleConfig()}})
	serveAnswer[protocol.Empty](leader, protocol.MethodConfigVersions, protocol.ConfigVersionsAnswer{Versions: api.ConfigVersions{
		Versions: []api.ConfigVersion{{Version: 7, OrderID: "o", AcceptedAt: sampleTime, Digest: "00ff"}},
	}})
	serveAnswer[protocol.Empty](leader, protocol.MethodRollout, protocol.RolloutAnswer{Rollout: api.Rollout{
		Version: 7, Processes: []api.ProcessRollout{{Process: "f1", Role: "front", Zone: "z1", Version: 6, AgeMillis: 5}},
	}})
	resources := api.Resources{CPUMillis: 8000, MemoryMB: 64, Accelerators: 1}
	serveAnswer[protocol.Empty](leader, protocol.MethodWorkers, protocol.WorkersAnswer{List: api.WorkerList{Workers: []api.WorkerStatus{
		{Name: "w1", WorkerID: "i", Zone: "z1", State: api.WorkerDraining, Reason: "r", Capacity: resources, Used: resources, Services: []string{"s"}, Labels: map[string]string{"zone": "z1"}, Runs: 1, SilentMillis: 3},
		{Name: "w2", State: api.WorkerReady, Services: []string{}},
	}}})
	serveAnswer[protocol.Empty](leader, protocol.MethodMembers, protocol.MembersAnswer{List: api.MemberList{Token: 2, CommitIndex: 9, Members: []api.MemberStatus{{ReplicaID: "r", Name: "s1"}}}})
	serveAnswer[protocol.BookingsRequest](leader, protocol.MethodBookings, protocol.BookingsAnswer{List: api.BookingList{Bookings: []api.BookingStatus{{
		Queue: "q", Booking: "opening", Start: sampleTime, End: sampleTime, HeldFrom: sampleTime, State: api.BookingOpen, Slots: 3, Placed: 2, Used: 1,
		Slice: resources, Service: "s", BestEffort: true, Workers: []api.BookingSlices{{Worker: "w1", Slots: 2, Used: 1}},
	}, {Queue: "q", Booking: "closing", State: api.BookingPlanned}}}})
	handleMethod(leader, protocol.MethodRelease, func(_ context.Context, request protocol.ReleaseRequest, _ int) (protocol.Empty, error) {
		if request.Release.Booking == "missing" {
			return protocol.Empty{}, apiError(404, api.CodeNotFound, 0)
		}
		return protocol.Empty{}, nil
	})
	serveAnswer[protocol.Empty](leader, protocol.MethodDrains, protocol.DrainsAnswer{List: api.DrainList{Zones: []api.ZoneDrain{{Zone: "z1", Drained: true}}}})
	handleMethod(leader, protocol.MethodDrainZone, func(_ context.Context, request protocol.DrainZoneRequest, _ int) (protocol.Empty, error) {
		if request.Drain.Zone == "full" {
			return protocol.Empty{}, apiError(429, api.CodeOverLimit, 1000)
		}
		return protocol.Empty{}, nil
	})
	serveAnswer[protocol.CancelManyRequest](leader, protocol.MethodCancelMany, protocol.CancelManyAnswer{Answer: api.CancelAnswer{Cancelled: 2}})
	handleMethod(leader, protocol.MethodQueue, func(_ context.Context, request protocol.QueueRequest, _ int) (protocol.QueueAnswer, error) {
		if request.Name == "missing" {
			return protocol.QueueAnswer{}, apiError(404, api.CodeNotFound, 0)
		}
		return protocol.QueueAnswer{Status: api.QueueStatus{Name: request.Name, Jobs: 1, Pending: 2, Running: 3}}, nil
	})
	serveAnswer[protocol.Empty](leader, protocol.MethodQueues, protocol.QueuesAnswer{List: api.QueueList{Queues: []api.QueueStatus{{Name: "q", Jobs: 1}}}})
}

// serveAnswer makes the leader give the same answer to every call of a method.
func serveAnswer[Request, Answer any](leader *fakeLeader, method protocol.Method, answer Answer) {
	handleMethod(leader, method, func(context.Context, Request, int) (Answer, error) { return answer, nil })
}

// submitRefusals has the errors that the leader answers to submissions, by job id.
var submitRefusals = map[string]error{
	"conflict":   apiError(409, api.CodeConflict, 0),
	"impossible": apiError(422, api.CodeImpossible, 0),
	"limit":      apiError(429, api.CodeOverLimit, 1500),
	"later":      apiError(503, api.CodeOutcomeUnknown, 10_000),
	"broken":     apiError(500, api.CodeInternal, 0),
}

const validRelease = `{"queue":"q","booking":"opening","start":"2026-01-31T14:00:00Z"}`

var sampleTime = time.Date(2026, 1, 31, 14, 0, 0, 5e6, time.UTC)

func sampleJob() api.JobSpec {
	failures := 0
	task := api.TaskSpec{
		Service: "s", Payload: json.RawMessage(`{"a":[1]}`), Resources: api.Resources{CPUMillis: 1, MemoryMB: 2, Accelerators: 3},
		Labels: map[string]string{"disk": "fast"}, Spread: &api.Spread{By: "label:rack", MaxPerDomain: 2},
		AllowedFailures: &failures, MaxDuration: api.Duration(90 * time.Second), Preemptible: true, UntilCancelled: true,
	}
	first := api.StepSpec{Name: "a", Tasks: []api.TaskSpec{{Service: "s", Resources: api.Resources{CPUMillis: 1}}}}
	second := api.StepSpec{Name: "b", After: []string{"a"}, NotBefore: &sampleTime, Together: true, Tasks: []api.TaskSpec{task}}
	return api.JobSpec{Queue: "q", Priority: -5, Steps: []api.StepSpec{first, second}}
}

func sampleConfig() api.Config {
	config := api.Config{
		Queues: []api.QueueConfig{{Name: "q", Priority: 1, Weight: 2, MaxRunningTasks: 3, MaxPendingTasks: 4, DefaultAllowedFailures: 5}},
		Drains: api.DrainConfig{Workers: []string{"w1"}, Zones: []string{"z1"}},
	}
	return config.WithDefaults()
}

func sampleStatus(id string) (protocol.JobAnswer, error) {
	if id == "missing" {
		return protocol.JobAnswer{}, apiError(404, api.CodeNotFound, 0)
	}
	task := api.TaskStatus{Task: id + "/a/0", State: api.StateFailed, Reason: "r", Run: 2, Worker: "w1", Failures: 1}
	return protocol.JobAnswer{Status: api.JobStatus{
		ID: id, Queue: "q", Priority: 1, State: api.StateFailed, SubmittedAt: sampleTime, EndedAt: &sampleTime, Archived: true,
		Steps: []api.StepStatus{{Name: "a", State: api.StateFailed, Tasks: []api.TaskStatus{task}}},
	}}, nil
}

func marshalSample(t *testing.T, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
