package api

// MemberStatus is an element of MemberList: one scheduler.
type MemberStatus struct {
	// ReplicaID identifies the member's data folder, for which it was
	// generated.
	ReplicaID string `json:"replica_id"`
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Leader    bool   `json:"leader"`
	// Voter is true once the member votes in every configuration of members
	// that may be in force, that is also if a change of members in progress
	// is lost. Only then may another voter be stopped.
	Voter bool `json:"voter"`
	// Matched is the highest log index known to be replicated on the member.
	Matched uint64 `json:"matched"`
	// SilentMillis is the time since the leader last heard from the member.
	SilentMillis int64 `json:"silent_ms"`
}

// MemberList is the answer of GET /v1/members.
type MemberList struct {
	// Token is the leader's term, which is the fencing token.
	Token       uint64         `json:"token"`
	CommitIndex uint64         `json:"commit_index"`
	Members     []MemberStatus `json:"members"`
}
