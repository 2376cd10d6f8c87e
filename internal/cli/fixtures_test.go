package cli

import (
	"time"

	"github.com/decklever/decklever/api"
)

const jobFile = "queue: q\nsteps:\n  - name: a\n    tasks:\n      - {service: s, resources: {cpu_millis: 1}, max_duration: 5s}\n"

// fleetReplies returns replies to every request that only reads.
func fleetReplies() map[string][]reply {
	capacity := api.Resources{CPUMillis: 8000, MemoryMB: 64}
	return map[string][]reply{
		"GET /v1/jobs/j":          {okReply(sampleStatus(api.StateSucceeded))},
		"GET /v1/jobs":            {okReply(api.JobList{Jobs: []api.JobSummary{{ID: "j", Queue: "q", State: "running", SubmittedAt: submittedTime, TasksTotal: 2, TasksEnded: 1}}, NextPageToken: "j"}), okReply(api.JobList{Jobs: []api.JobSummary{{ID: "k", Queue: "q", State: "failed", SubmittedAt: submittedTime, TasksTotal: 1, TasksEnded: 1}}})},
		"GET /v1/config":          {configReply(7)},
		"GET /v1/config/versions": {okReply(api.ConfigVersions{Versions: []api.ConfigVersion{{Version: 7, OrderID: "o", AcceptedAt: submittedTime, Digest: "0123456789abcdef"}}})},
		"GET /v1/config/rollout":  {okReply(api.Rollout{Version: 7, Processes: []api.ProcessRollout{{Process: "a1", Role: "agent", Zone: "z1", Version: 6, AgeMillis: 1500}, {Process: "f1", Role: "front", Zone: "z1", Version: 7}}})},
		"GET /v1/workers":         {okReply(api.WorkerList{Workers: []api.WorkerStatus{{Name: "w1", Zone: "z1", State: api.WorkerReady, Capacity: capacity, Services: []string{"s", "t"}, Runs: 1}, {Name: "w2", Zone: "z2", State: api.WorkerLost, SilentMillis: 9000, Reason: "r"}}})},
		"GET /v1/members":         {okReply(api.MemberList{Token: 3, CommitIndex: 9, Members: []api.MemberStatus{{ReplicaID: "ff", Name: "s1", Zone: "z1", Address: "127.1.0.1:1", Leader: true, Voter: true, Matched: 9}}})},
		"GET /v1/bookings":        {okReply(sampleBookings())},
		"GET /v1/drains":          {okReply(api.DrainList{Zones: []api.ZoneDrain{{Zone: "z3", Drained: true}}})},
		"GET /v1/queues":          {okReply(api.QueueList{Queues: []api.QueueStatus{{Name: "q", Jobs: 4, WaitingJobs: 1, Pending: 2, Running: 3}}})},
	}
}

var (
	submittedTime = time.Date(2026, 1, 31, 14, 0, 0, 9e8, time.UTC)
	testNow       = time.Date(2026, 1, 31, 13, 30, 0, 0, time.UTC)
)

// windowAt returns a booking window of two hours that starts the given number
// of hours after testNow and is held from 30 minutes before its start.
func windowAt(hours int, queue, booking string, state api.BookingState, workers ...api.BookingSlices) api.BookingStatus {
	start := testNow.Add(time.Duration(hours) * time.Hour)
	window := api.BookingStatus{
		Queue: queue, Booking: booking, Start: start, End: start.Add(2 * time.Hour), HeldFrom: start.Add(-30 * time.Minute),
		State: state, Slots: 4, Slice: api.Resources{CPUMillis: 1000, MemoryMB: 4}, Workers: workers,
	}
	for _, worker := range workers {
		window.Placed += worker.Slots
		window.Used += worker.Used
	}
	return window
}

// sampleBookings returns an open window, a released one, a held one with 3 of 4
// slices placed, and a planned one 11 hours ahead.
func sampleBookings() api.BookingList {
	return api.BookingList{Bookings: []api.BookingStatus{
		windowAt(-1, "q", "opening", api.BookingOpen, api.BookingSlices{Worker: "w1", Slots: 4, Used: 3}),
		windowAt(0, "r", "nightly", api.BookingReleased, api.BookingSlices{Worker: "w1", Slots: 4}),
		windowAt(3, "q", "closing", api.BookingHeld, api.BookingSlices{Worker: "w1", Slots: 3}),
		windowAt(11, "q", "opening", api.BookingPlanned),
	}}
}

func sampleStatus(state api.State) api.JobStatus {
	tasks := []api.TaskStatus{
		{Task: "j/a/0", State: state, Run: 2, Worker: "w1", Failures: 1},
		{Task: "j/a/1", State: api.StatePending, Reason: "no room\n\x1b[2J"},
	}
	return api.JobStatus{
		ID: "j", Queue: "q", Priority: 5, State: state, SubmittedAt: submittedTime,
		Steps: []api.StepStatus{{Name: "a", State: state, Tasks: tasks}},
	}
}

// configReply returns a reply with a configuration in force that drains the
// given workers.
func configReply(version uint64, workers ...string) reply {
	return okReply(api.ConfigStatus{Version: version, Config: api.Config{
		Queues: []api.QueueConfig{{Name: "q"}}, Drains: api.DrainConfig{Workers: workers},
	}})
}

func acceptedReply(version uint64) reply { return okReply(api.ConfigStatus{Version: version}) }
