package protocol

import (
	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// Method names one call between processes; it is the last part of the path.
type Method string

// Methods, all served by schedulers.
const (
	// MethodRaft carries a batch of messages of the replicated log.
	MethodRaft Method = "raft"
	// MethodSnapshotChunk carries a piece of a snapshot.
	MethodSnapshotChunk Method = "snapshot-chunk"
	// MethodArchivePage reads archived jobs, for a newcomer.
	MethodArchivePage Method = "archive-page"
	// MethodIdentity asks a seed who it is and whether it is empty.
	MethodIdentity Method = "identity"
	// MethodJoin asks the leader to add a replica as a learner.
	MethodJoin Method = "join"
	// MethodRetire offers the seat of a voter that is about to stop; leader only.
	MethodRetire Method = "retire"
	// MethodReadIndex asks the leader for a linearizable read point.
	MethodReadIndex Method = "read-index"
	// MethodHeartbeat relays a worker's heartbeat; leader only.
	MethodHeartbeat Method = "heartbeat"
	// MethodWatch is the held request by which fronts and agents learn the
	// leader and the configuration; leader only.
	MethodWatch Method = "watch"
	// The callers' and operators' calls, relayed by fronts; leader only.
	MethodSubmit         Method = "submit"
	MethodCancel         Method = "cancel"
	MethodGetJob         Method = "get-job"
	MethodListJobs       Method = "list-jobs"
	MethodGetConfig      Method = "get-config"
	MethodPutConfig      Method = "put-config"
	MethodValidateConfig Method = "validate-config"
	MethodConfigVersions Method = "config-versions"
	MethodRollout        Method = "rollout"
	MethodWorkers        Method = "workers"
	MethodMembers        Method = "members"
	MethodQueues         Method = "queues"
	MethodQueue          Method = "queue"
	MethodBookings       Method = "bookings"
	MethodRelease        Method = "release"
	MethodCancelMany     Method = "cancel-many"
	MethodDrainZone      Method = "drain-zone"
	MethodDrains         Method = "drains"
	// MethodLeave says that a worker is about to leave; leader only.
	MethodLeave Method = "leave"
)

// Empty is a request or answer without content.
type Empty struct{}

// RaftRequest carries messages of the replicated log from one replica to
// another. There is no answer beyond receipt; loss is repaired by raft.
type RaftRequest struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	// Sender is where answers go if the receiver's membership does not yet
	// list the sender.
	Sender raft.Member `cbor:"2,keyasint"`
}

// SnapshotChunkRequest carries a piece of a snapshot. The receiver takes
// chunks in order of Offset; a doubled one is ignored; a gap is refused and
// the sender starts again.
type SnapshotChunkRequest struct {
	From   raft.ReplicaID    `cbor:"1,keyasint"`
	To     raft.ReplicaID    `cbor:"2,keyasint"`
	Term   uint64            `cbor:"3,keyasint"`
	Meta   raft.SnapshotMeta `cbor:"4,keyasint"`
	Offset uint64            `cbor:"5,keyasint"`
	Data   []byte            `cbor:"6,keyasint"`
	Last   bool              `cbor:"7,keyasint"`
	// Address is where the sender is reached. The receiver asks there for the
	// archive: no membership that it knows need list the sender.
	Address string `cbor:"8,keyasint"`
}

// SnapshotChunkAnswer: a chunk was taken. The sender repeats the last chunk
// until Installed is true.
type SnapshotChunkAnswer struct {
	Installed bool `cbor:"1,keyasint"`
}

// ArchivePageRequest asks for archived jobs after a place in the archive.
type ArchivePageRequest struct {
	AfterIndex uint64 `cbor:"1,keyasint"`
	AfterID    string `cbor:"2,keyasint"`
	Limit      int    `cbor:"3,keyasint"`
}

// ArchivePageAnswer is empty at the end.
type ArchivePageAnswer struct {
	Jobs []record.ArchivedJob `cbor:"1,keyasint"`
}

// IdentityAnswer says who a scheduler is. A new cluster forms only when every
// seed answers and all are Empty.
type IdentityAnswer struct {
	Member raft.Member `cbor:"1,keyasint"`
	// Empty: the replica holds no log and has taken part in no cluster.
	Empty bool `cbor:"2,keyasint"`
	// LeaderAddress is the leader as known, or empty.
	LeaderAddress string `cbor:"3,keyasint"`
	// Bootstrapping is true while the replica is waiting to form a new cluster with
	// exactly the seeds that it was given.
	Bootstrapping bool `cbor:"4,keyasint"`
	// Membership is the newest that the replica knows, or the one that a
	// waiting founder proposes.
	Membership raft.Membership `cbor:"5,keyasint"`
	// InitialMembership is the membership that the cluster began with, while the replica
	// still has it: a founder that comes late starts from it.
	InitialMembership *raft.Membership `cbor:"6,keyasint,omitempty"`
	// Relay is true for a scheduler without a data folder: it is no replica,
	// only its LeaderAddress means something, and nobody waits for it.
	Relay bool `cbor:"7,keyasint,omitempty"`
}

// ReadIndexAnswer carries a read point: once a replica has applied Index, its
// record reflects all that was acknowledged before the request.
type ReadIndexAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}

// JoinRequest asks the leader to take a replica in. Doubled: no effect. A
// member of the same Name with another ID is replaced once the newcomer has
// caught up and the old one is silent.
type JoinRequest struct {
	Member raft.Member `cbor:"1,keyasint"`
	// ArchiveCopied: the newcomer holds the archive up to the leader's own.
	ArchiveCopied bool `cbor:"2,keyasint"`
}

// JoinAnswer says how far the newcomer is.
type JoinAnswer struct {
	// Voter is true once the replacement is complete.
	Voter bool `cbor:"1,keyasint"`
	// Standby is true while the newcomer has caught up and there are voters
	// enough: it asks again from time to time.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// RetireRequest offers a voter's seat to a learner that stands by. Lost: the
// seat stays with the voter. Doubled: no effect.
type RetireRequest struct {
	ID raft.ReplicaID `cbor:"1,keyasint"`
}

// RetireAnswer says whether the seat is given away, or that nobody stands by.
type RetireAnswer struct {
	Done bool `cbor:"1,keyasint"`
}

// HeartbeatRequest relays one heartbeat. It is never sent twice: the agent
// answers 503 when the call fails, and the worker goes on with its next seq.
type HeartbeatRequest struct {
	// Agent is the agent's process name, Zone its zone.
	Agent     string        `cbor:"1,keyasint"`
	Zone      string        `cbor:"2,keyasint"`
	Heartbeat api.Heartbeat `cbor:"3,keyasint"`
	// ConfigVersion is in force in the agent; it confirms it as a watch does.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatAnswer wraps the answer for the worker.
type HeartbeatAnswer struct {
	Answer api.HeartbeatAnswer `cbor:"1,keyasint"`
}

// WatchRequest is held by the leader until something differs from what the
// process knows, or until MaxWait; it also confirms what is in force there.
// Lost or late: the process asks again; versions only grow.
type WatchRequest struct {
	Process string `cbor:"1,keyasint"`
	// Role is "front" or "agent".
	Role string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// ConfigVersion is in force in the process; Token is the highest it saw.
	ConfigVersion uint64 `cbor:"4,keyasint"`
	Token         uint64 `cbor:"5,keyasint"`
	MaxWaitMillis int64  `cbor:"6,keyasint"`
	// VersionOnly: the process needs no content of configurations.
	VersionOnly bool `cbor:"7,keyasint,omitempty"`
}

// WatchAnswer says what is in force. A process that got none for longer than
// LeaseMillis since it sent the request stops serving: it may be out of date.
type WatchAnswer struct {
	Token         uint64 `cbor:"1,keyasint"`
	LeaderAddress string `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
	// Config is nil if the process has this version already, or asked for the
	// version only.
	Config      *api.Config `cbor:"4,keyasint,omitempty"`
	LeaseMillis int64       `cbor:"5,keyasint"`
}

// SubmitRequest hands in a job. Doubled: answered as the same.
type SubmitRequest struct {
	ID   string      `cbor:"1,keyasint"`
	Spec api.JobSpec `cbor:"2,keyasint"`
}

// SubmitAnswer says whether the job is new.
type SubmitAnswer struct {
	Created bool `cbor:"1,keyasint"`
}

// CancelRequest cancels a job; idempotent.
type CancelRequest struct {
	ID string `cbor:"1,keyasint"`
	// Brief asks for the job's own fields only, without its steps.
	Brief bool `cbor:"2,keyasint,omitempty"`
}

// GetJobRequest reads a job, held until it is final or WaitMillis passed.
type GetJobRequest struct {
	ID         string `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
	// Brief asks for the job's own fields only, without its steps.
	Brief bool `cbor:"3,keyasint,omitempty"`
}

// JobAnswer carries a job's state.
type JobAnswer struct {
	Status api.JobStatus `cbor:"1,keyasint"`
}

// ListJobsRequest lists jobs; empty filters match all.
type ListJobsRequest struct {
	Queue     string    `cbor:"1,keyasint"`
	State     api.State `cbor:"2,keyasint"`
	Limit     int       `cbor:"3,keyasint"`
	PageToken string    `cbor:"4,keyasint"`
}

// ListJobsAnswer carries a page.
type ListJobsAnswer struct {
	List api.JobList `cbor:"1,keyasint"`
}

// ConfigRequest asks for the configuration.
type ConfigRequest struct {
	// Annotation, if given, is all of the content that is asked for.
	Annotation string `cbor:"1,keyasint,omitempty"`
}

// ConfigAnswer carries a version and its content.
type ConfigAnswer struct {
	Status api.ConfigStatus `cbor:"1,keyasint"`
}

// PutConfigRequest proposes a configuration. Doubled: the same answer again.
type PutConfigRequest struct {
	OrderID string     `cbor:"1,keyasint"`
	Base    uint64     `cbor:"2,keyasint"`
	Config  api.Config `cbor:"3,keyasint"`
}

// PutConfigAnswer carries the accepted version.
type PutConfigAnswer struct {
	Version uint64 `cbor:"1,keyasint"`
}

// ValidateConfigRequest checks a configuration without taking it.
type ValidateConfigRequest struct {
	Config api.Config `cbor:"1,keyasint"`
}

// ConfigVersionsAnswer carries the history.
type ConfigVersionsAnswer struct {
	Versions api.ConfigVersions `cbor:"1,keyasint"`
}

// RolloutAnswer carries the roll-out.
type RolloutAnswer struct {
	Rollout api.Rollout `cbor:"1,keyasint"`
}

// WorkersAnswer carries the registry.
type WorkersAnswer struct {
	List api.WorkerList `cbor:"1,keyasint"`
}

// MembersAnswer carries the control plane.
type MembersAnswer struct {
	List api.MemberList `cbor:"1,keyasint"`
}

// QueuesAnswer carries the queues.
type QueuesAnswer struct {
	List api.QueueList `cbor:"1,keyasint"`
}

// QueueRequest asks for one queue.
type QueueRequest struct {
	Name string `cbor:"1,keyasint"`
}

// QueueAnswer carries one queue.
type QueueAnswer struct {
	Status api.QueueStatus `cbor:"1,keyasint"`
}

// BookingsRequest asks for the windows that overlap the coming hours.
type BookingsRequest struct {
	HorizonMillis int64 `cbor:"1,keyasint"`
}

// BookingsAnswer carries the windows.
type BookingsAnswer struct {
	List api.BookingList `cbor:"1,keyasint"`
}

// ReleaseRequest gives the room of a window back. Doubled: no effect.
type ReleaseRequest struct {
	Release api.ReleaseRequest `cbor:"1,keyasint"`
}

// DrainZoneRequest drains a zone or takes that back. Doubled: no effect.
type DrainZoneRequest struct {
	Drain api.ZoneDrain `cbor:"1,keyasint"`
}

// DrainsAnswer lists the zones drained by an order.
type DrainsAnswer struct {
	List api.DrainList `cbor:"1,keyasint"`
}

// LeaveRequest says that a worker incarnation leaves: it gets no new work from
// the answer on. Lost: the agent answers 503 and the worker asks again. Doubled,
// or of an incarnation that is not known: no effect.
type LeaveRequest struct {
	WorkerID string `cbor:"1,keyasint"`
	// RemainingMillis is the least time that it still has; 0 if not known.
	RemainingMillis int64 `cbor:"2,keyasint"`
}

// CancelManyRequest cancels jobs by id or queue; idempotent.
type CancelManyRequest struct {
	Cancel api.CancelRequest `cbor:"1,keyasint"`
}

// CancelManyAnswer says how many were cancelled.
type CancelManyAnswer struct {
	Answer api.CancelAnswer `cbor:"1,keyasint"`
}
