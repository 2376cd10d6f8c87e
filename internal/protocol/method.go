package protocol

// Method names a call between processes. It is the last part of the call's URL path.
type Method string

// Methods that every scheduler serves.
const (
	// MethodRaft delivers a batch of raft messages.
	MethodRaft Method = "raft"
	// MethodSnapshotChunk delivers a chunk of a snapshot.
	MethodSnapshotChunk Method = "snapshot-chunk"
	// MethodArchivePage reads archived jobs, for a new replica.
	MethodArchivePage Method = "archive-page"
	// MethodIdentity reads the identity of a seed and whether it is empty.
	MethodIdentity Method = "identity"
)

// Methods that only the leader serves.
const (
	// MethodJoin requests that the leader add a replica as a learner.
	MethodJoin Method = "join"
	// MethodRetire offers the slot of a voter that is about to stop to a learner.
	MethodRetire Method = "retire"
	// MethodReadIndex requests a linearizable read index.
	MethodReadIndex Method = "read-index"
	// MethodHeartbeat relays a worker's heartbeat.
	MethodHeartbeat Method = "heartbeat"
	// MethodLeave announces that a worker is about to leave.
	MethodLeave Method = "leave"
	// MethodWatch is the long poll by which fronts and agents track the leader and the
	// configuration.
	MethodWatch Method = "watch"
)

// Methods by which fronts forward calls of clients and operators to the leader.
const (
	MethodSubmit         Method = "submit"
	MethodCancel         Method = "cancel"
	MethodCancelMany     Method = "cancel-many"
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
	MethodDrainZone      Method = "drain-zone"
	MethodDrains         Method = "drains"
)

// Empty is a request or answer without fields.
type Empty struct{}
