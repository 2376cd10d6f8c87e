package api

import "time"

// WorkerState is how the scheduler sees a worker.
type WorkerState string

// Worker states.
const (
	// WorkerReady takes new work.
	WorkerReady WorkerState = "ready"
	// WorkerWaiting has been heard, but the ready gate is still closed.
	WorkerWaiting WorkerState = "waiting"
	// WorkerDraining gets no new work.
	WorkerDraining WorkerState = "draining"
	// WorkerSilent has not been heard; its hold may still stand.
	WorkerSilent WorkerState = "silent"
	// WorkerSuspect gets no new work for a while, except what no other worker
	// could take: work fails or stands still there, and not elsewhere.
	WorkerSuspect WorkerState = "suspect"
	// WorkerProbation was suspect; it gets one task at a time.
	WorkerProbation WorkerState = "probation"
	// WorkerLost is silent and its hold has lapsed.
	WorkerLost WorkerState = "lost"
)

// WorkerStatus is a row of GET /v1/workers.
type WorkerStatus struct {
	Name     string            `json:"name"`
	WorkerID string            `json:"worker_id"`
	Zone     string            `json:"zone"`
	State    WorkerState       `json:"state"`
	Reason   string            `json:"reason,omitempty"`
	Capacity Resources         `json:"capacity"`
	Used     Resources         `json:"used"`
	Services []string          `json:"services"`
	Labels   map[string]string `json:"labels,omitempty"`
	// Runs is the number of open runs.
	Runs int `json:"runs"`
	// SilentMillis is the time since the last heartbeat.
	SilentMillis int64 `json:"silent_ms"`
}

// WorkerList is the answer of GET /v1/workers.
type WorkerList struct {
	Workers []WorkerStatus `json:"workers"`
}

// MemberStatus is a row of GET /v1/members: one scheduler.
type MemberStatus struct {
	// ReplicaID was drawn once for the member's data folder.
	ReplicaID string `json:"replica_id"`
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Leader    bool   `json:"leader"`
	// Voter is true once the member votes, also should a change of the members
	// that is under way be lost: from then on another one may stop.
	Voter bool `json:"voter"`
	// Matched is the last log index known to be on the member.
	Matched uint64 `json:"matched"`
	// SilentMillis is the time since the leader heard it.
	SilentMillis int64 `json:"silent_ms"`
}

// MemberList is the answer of GET /v1/members.
type MemberList struct {
	// Token is the leader's term.
	Token       uint64         `json:"token"`
	CommitIndex uint64         `json:"commit_index"`
	Members     []MemberStatus `json:"members"`
}

// ZoneDrain is the answer of PUT and DELETE /v1/drains/zones/{zone} and a row
// of GET /v1/drains. It is an order of its own, beside the drains of the
// configuration: a worker is drained if either says so, and neither a new
// configuration nor a restart undoes it.
type ZoneDrain struct {
	Zone string `json:"zone"`
	// Drained: the zone's workers get no new work. False takes that back.
	Drained bool `json:"drained"`
}

// DrainList is the answer of GET /v1/drains: the zones that are drained by an
// order of their own, by name.
type DrainList struct {
	Zones []ZoneDrain `json:"zones"`
}

// QueueStatus is a row of GET /v1/queues.
type QueueStatus struct {
	Name string `json:"name"`
	// Jobs counts jobs that have not ended, WaitingJobs those of them of which no
	// task has begun to run on a worker.
	Jobs        int `json:"jobs"`
	WaitingJobs int `json:"waiting_jobs"`
	// Pending counts tasks without an open run, Running those with one.
	Pending int `json:"pending_tasks"`
	Running int `json:"running_tasks"`
	// ExpectedWaitMillis is how long a task that comes now would wait for its
	// start, by the measured rate of starts; absent while that is not known.
	ExpectedWaitMillis int64 `json:"expected_wait_ms,omitempty"`
	// Overloaded: the queue has an objective, and a job that comes now would wait
	// for longer than that leaves.
	Overloaded bool `json:"overloaded,omitempty"`
}

// QueueList is the answer of GET /v1/queues.
type QueueList struct {
	Queues []QueueStatus `json:"queues"`
}

// BookingStatus is a row of GET /v1/bookings: one window, past its lead or yet
// to come.
type BookingStatus struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start and End frame the window; room is kept from HeldFrom on.
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	HeldFrom time.Time `json:"held_from"`
	// State is "planned", "held" (within the lead), "open" (within the window)
	// or "released" (given back early).
	State BookingState `json:"state"`
	Slots int          `json:"slots"`
	// Placed is the number of slices that lie on workers, Used those in use.
	Placed     int       `json:"placed"`
	Used       int       `json:"used"`
	Slice      Resources `json:"slice"`
	Service    string    `json:"service,omitempty"`
	BestEffort bool      `json:"best_effort,omitempty"`
	// Workers are where the slices lie now.
	Workers []BookingSlices `json:"workers,omitempty"`
}

// BookingState is how far a window is.
type BookingState string

// Booking states.
const (
	BookingPlanned  BookingState = "planned"
	BookingHeld     BookingState = "held"
	BookingOpen     BookingState = "open"
	BookingReleased BookingState = "released"
)

// BookingSlices counts a window's slices on one worker.
type BookingSlices struct {
	Worker string `json:"worker"`
	Slots  int    `json:"slots"`
	Used   int    `json:"used"`
}

// BookingList is the answer of GET /v1/bookings, in the order of Start.
type BookingList struct {
	Bookings []BookingStatus `json:"bookings"`
}

// ReleaseRequest is the body of POST /v1/bookings/release: the queue has no
// more work for a window, and its room is given back.
type ReleaseRequest struct {
	Queue   string `json:"queue"`
	Booking string `json:"booking"`
	// Start is the window's start, as GET /v1/bookings gives it.
	Start time.Time `json:"start"`
}

// CancelRequest is the body of POST /v1/cancellations: many jobs at once, by id
// or all of a queue. Exactly one of the two is given.
type CancelRequest struct {
	Jobs  []string `json:"jobs,omitempty"`
	Queue string   `json:"queue,omitempty"`
}

// CancelAnswer says how many jobs were cancelled by the call; those unknown,
// ended or cancelled before do not count.
type CancelAnswer struct {
	Cancelled int `json:"cancelled"`
}
