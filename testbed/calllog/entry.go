package calllog

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Kind is what an entry records.
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
	// ActionExit is the end of a process, whoever caused it.
	ActionExit Action = "exit"
	// ActionWipe is the loss of a scheduler's data folder; ActionJoined is when
	// the fleet showed the scheduler as a voter again.
	ActionWipe   Action = "wipe"
	ActionJoined Action = "joined"
	// ActionClock is a jump of the wall clock of one process, by Offset.
	ActionClock Action = "clock"
	// The following concern the link from Process to Peer. A partition blocks all data
	// and new connections until it heals; stalled data is forwarded in order when the
	// stall ends; reordered data is forwarded late, chunk by chunk; reset connections
	// are gone. Their values are those of earlier versions, since people read old files
	// too.
	ActionPartition  Action = "cut"
	ActionHeal       Action = "heal"
	ActionStall      Action = "hold"
	ActionEndStall   Action = "release"
	ActionReorder    Action = "cross"
	ActionEndReorder Action = "uncross"
	ActionReset      Action = "drop"
)

// Entry is one request with its answer, or one fault. Its JSON names are part of the
// file format.
type Entry struct {
	Kind Kind `json:"kind"`
	// Sent and Answered are when the request was sent and its answer came. A fault has
	// the same time in both.
	Sent     monoclock.Nanos `json:"sent_ns"`
	Answered monoclock.Nanos `json:"answered_ns"`
	// Code and Error are those of a rejection or of a call without an answer; both are
	// empty when the call was accepted.
	Code  api.ErrorCode `json:"code,omitempty"`
	Error string        `json:"error,omitempty"`

	JobID string `json:"job_id,omitempty"`
	// Spec and Class are set on submissions.
	Spec  *api.JobSpec `json:"spec,omitempty"`
	Class Class        `json:"class,omitempty"`
	// Status and RetryAfter are set on submissions of a flood: the HTTP status, 0
	// without an answer, and whether it said when to retry.
	Status     int  `json:"status,omitempty"`
	RetryAfter bool `json:"retry_after,omitempty"`
	// Created is true when a submission was answered as the first of its id.
	Created bool `json:"created,omitempty"`
	// Resend is true for a submission that repeats an accepted one on purpose.
	Resend bool `json:"resend,omitempty"`
	// Wait is how long the caller allowed a long poll to wait.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// State is the job's state in the answer to a poll or a cancellation.
	State api.State `json:"state,omitempty"`
	// Succeeded names tasks that this poll reported as succeeded and no earlier poll
	// did.
	Succeeded []string `json:"succeeded,omitempty"`

	// Milestone is set on milestones; Sent and Answered are its time.
	Milestone Milestone `json:"mark,omitempty"`

	OrderID string `json:"order_id,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Config is set on writes and reads of the configuration.
	Config *api.Config `json:"config,omitempty"`

	// Rollout is the answer to a read of the rollout.
	Rollout *api.Rollout `json:"rollout,omitempty"`

	// Process, Action and Expected are set on faults. Expected is true for an exit that
	// the test bed caused. Peer is the other end of a link.
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
