package api

// MemberStatus describes one scheduler.
type MemberStatus struct {
	// ReplicaID identifies the member's data folder. It was generated with the
	// folder.
	ReplicaID string `json:"replica_id"`
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Leader    bool   `json:"leader"`
	// Voter is true once the member votes in every membership that may be in
	// force, that is, whether or not a membership change in progress takes
	// effect. Only then may another voter be stopped.
	Voter bool `json:"voter"`
	// Matched is the highest log index known to be replicated on the member.
	Matched uint64 `json:"matched"`
	// SilentMillis is the time since the leader last received a message from the
	// member; 0 for the leader.
	SilentMillis int64 `json:"silent_ms"`
}

// MemberList is the answer of GET /v1/members.
type MemberList struct {
	// Token is the leader's term, which is the fencing token.
	Token       uint64         `json:"token"`
	CommitIndex uint64         `json:"commit_index"`
	Members     []MemberStatus `json:"members"`
}
