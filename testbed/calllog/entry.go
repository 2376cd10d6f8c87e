package calllog

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Kind is the kind of call or event that an entry records.
type Kind string

// Kinds of entries.
const (
	KindSubmit     Kind = "submit"
	KindPoll       Kind = "poll"
	KindCancel     Kind = "cancel"
	KindConfigPut  Kind = "config_put"
	KindConfigRead Kind = "config_read"
	KindRollout    Kind = "rollout"
	KindFault      Kind = "fault"
	KindMilestone  Kind = "mark"
)

// Action is what was done to a process, or happened to it.
type Action string

// Actions.
const (
	ActionStart     Action = "start"
	ActionKill      Action = "kill"
	ActionTerminate Action = "terminate"
	ActionFreeze    Action = "freeze"
	ActionResume    Action = "resume"
	// ActionExit is the exit of a process, whether or not the test bed caused it.
	ActionExit Action = "exit"
	// ActionWipe is the loss of a scheduler's data folder; ActionJoined records that
	// the fleet reported the scheduler as a voter again.
	ActionWipe   Action = "wipe"
	ActionJoined Action = "joined"
	// ActionClock is a jump of one process's wall clock by Entry.Offset.
	ActionClock Action = "clock"
	// The following actions apply to the link from Process to Peer. A partition blocks all
	// data and new connections until it heals; stalled data is forwarded in order when the
	// stall ends; reordered data is forwarded late, chunk by chunk; a reset closes the
	// connections. The values differ from the names because files of earlier versions,
	// which people still read, use them.
	ActionPartition  Action = "cut"
	ActionHeal       Action = "heal"
	ActionStall      Action = "hold"
	ActionEndStall   Action = "release"
	ActionReorder    Action = "cross"
	ActionEndReorder Action = "uncross"
	ActionReset      Action = "drop"
)

// Entry is one request with its answer, one fault or one milestone. Its JSON names are
// part of the file format.
type Entry struct {
	Kind Kind `json:"kind"`
	// Sent and Answered are the times at which the request was sent and its answer
	// received. For a fault both are the same.
	Sent     monoclock.Nanos `json:"sent_ns"`
	Answered monoclock.Nanos `json:"answered_ns"`
	// Code and Error describe a rejection or a call without an answer, which has no
	// Code; both are empty if the call was accepted.
	Code  api.ErrorCode `json:"code,omitempty"`
	Error string        `json:"error,omitempty"`

	JobID string `json:"job_id,omitempty"`
	// Spec and Class are set on submissions.
	Spec  *api.JobSpec `json:"spec,omitempty"`
	Class Class        `json:"class,omitempty"`
	// Status and RetryAfter are set on submissions of a flood: the HTTP status (0
	// without an answer) and whether the answer had a Retry-After header.
	Status     int  `json:"status,omitempty"`
	RetryAfter bool `json:"retry_after,omitempty"`
	// Created is true if the answer said that the submission created the job.
	Created bool `json:"created,omitempty"`
	// Resend is true for a deliberate repetition of an accepted submission.
	Resend bool `json:"resend,omitempty"`
	// Wait is the longest wait that the caller requested for a long poll.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// State is the job's state in the answer to a poll or a cancellation.
	State api.State `json:"state,omitempty"`
	// Succeeded names the tasks that this poll was the first to report as succeeded.
	Succeeded []string `json:"succeeded,omitempty"`

	// Milestone is set on milestones; Sent and Answered are both its time.
	Milestone Milestone `json:"mark,omitempty"`

	OrderID string `json:"order_id,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Config is set on writes and reads of the configuration.
	Config *api.Config `json:"config,omitempty"`

	// Rollout is set on reads of the rollout.
	Rollout *api.Rollout `json:"rollout,omitempty"`

	// Process, Action and Expected are set on faults. Expected is true for an exit that
	// the test bed caused. Peer is the other end of the affected link.
	Process  string        `json:"process,omitempty"`
	Peer     string        `json:"peer,omitempty"`
	Action   Action        `json:"action,omitempty"`
	Expected bool          `json:"expected,omitempty"`
	Offset   time.Duration `json:"offset_ns,omitempty"`
	// Program is the path of the program that was started.
	Program string `json:"program,omitempty"`
}

// Accepted reports whether the call was answered without a rejection.
func (e Entry) Accepted() bool { return e.Code == "" && e.Error == "" }
