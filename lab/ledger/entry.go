package ledger

import (
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/lab/monoclock"
)

// Kind is what an entry tells.
type Kind string

// Kinds of entries.
const (
	KindSubmit     Kind = "submit"
	KindPoll       Kind = "poll"
	KindCancel     Kind = "cancel"
	KindConfigPut  Kind = "config_put"
	KindConfigRead Kind = "config_read"
	KindFault      Kind = "fault"
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
)

// Entry is one request with its answer, or one fault.
type Entry struct {
	Kind Kind `json:"kind"`
	// Sent and Answered are when the request left and its answer came. A
	// fault has the same time in both.
	Sent     monoclock.Nanos `json:"sent_ns"`
	Answered monoclock.Nanos `json:"answered_ns"`
	// Code and Error are those of a refusal or of a call without an answer;
	// both are empty when the call was accepted.
	Code  api.ErrorCode `json:"code,omitempty"`
	Error string        `json:"error,omitempty"`

	JobID string `json:"job_id,omitempty"`
	// Spec stands on submits.
	Spec *api.JobSpec `json:"spec,omitempty"`
	// Created is true when a submit was answered as the first of its id.
	Created bool `json:"created,omitempty"`
	// Resend is true for a submit that repeats an accepted one on purpose.
	Resend bool `json:"resend,omitempty"`
	// Wait is how long a poll allowed the fleet to hold it.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// State is the job's state in the answer to a poll or a cancel.
	State api.State `json:"state,omitempty"`
	// Succeeded names tasks that this poll showed as succeeded and no poll
	// before it did.
	Succeeded []string `json:"succeeded,omitempty"`

	OrderID string `json:"order_id,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Config stands on config puts and reads.
	Config *api.Config `json:"config,omitempty"`

	// Process, Action and Expected stand on faults. Expected is true for an
	// exit that the lab caused.
	Process  string `json:"process,omitempty"`
	Action   Action `json:"action,omitempty"`
	Expected bool   `json:"expected,omitempty"`
}

// Accepted reports whether the call was answered without a refusal.
func (e Entry) Accepted() bool { return e.Code == "" && e.Error == "" }
