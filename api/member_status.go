package api

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
