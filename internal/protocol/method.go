package protocol

// Method names a call between processes. It is the last part of the call's URL path.
type Method string

// Methods that every scheduler serves.
const (
	// MethodRaft carries a batch of messages of the replicated log.
	MethodRaft Method = "raft"
	// MethodSnapshotChunk carries a chunk of a snapshot.
	MethodSnapshotChunk Method = "snapshot-chunk"
	// MethodArchivePage reads archived jobs, for a new replica.
	MethodArchivePage Method = "archive-page"
	// MethodIdentity asks a seed who it is and whether it is empty.
	MethodIdentity Method = "identity"
)

// Methods that only the leader serves.
const (
	// MethodJoin asks to add a replica as a learner.
	MethodJoin Method = "join"
	// MethodRetire offers the voter slot of a replica that is about to stop.
	MethodRetire Method = "retire"
	// MethodReadIndex asks for a linearizable read point.
	MethodReadIndex Method = "read-index"
	// MethodHeartbeat relays a worker's heartbeat.
	MethodHeartbeat Method = "heartbeat"
	// MethodLeave gives notice that a worker is about to leave.
	MethodLeave Method = "leave"
	// MethodWatch is the long poll by which fronts and agents track the leader and the
	// configuration.
	MethodWatch Method = "watch"
)

// Methods by which fronts forward the calls of callers and operators to the leader.
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

// Empty is a request or answer without content.
type Empty struct{}
