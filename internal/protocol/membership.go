package protocol

import "github.com/decklever/decklever/internal/raft"

// IdentityAnswer identifies a scheduler and its state. A new cluster is bootstrapped only
// when every seed that is not a relay has answered with Empty true.
type IdentityAnswer struct {
	Member raft.Member `cbor:"1,keyasint"`
	// Empty is true for a replica without a log that was never part of a cluster.
	Empty bool `cbor:"2,keyasint"`
	// LeaderAddress is the leader's address; empty if the scheduler knows no leader.
	LeaderAddress string `cbor:"3,keyasint"`
	// Bootstrapping is true while the replica waits to bootstrap a new cluster with
	// exactly its configured seeds.
	Bootstrapping bool `cbor:"4,keyasint"`
	// Membership is the newest membership that the replica knows, or, while
	// Bootstrapping is true, the one that it proposes.
	Membership raft.Membership `cbor:"5,keyasint"`
	// InitialMembership is the membership with which the cluster was created; nil if the
	// replica no longer has it. A replica that bootstraps later than the other seeds
	// starts from it.
	InitialMembership *raft.Membership `cbor:"6,keyasint,omitempty"`
	// Relay is true for a scheduler without a data folder. It is not a replica: only
	// LeaderAddress is meaningful, and bootstrapping replicas do not wait for it.
	Relay bool `cbor:"7,keyasint,omitempty"`
}

// JoinRequest requests that the leader add a replica. A duplicate has no effect. An earlier
// learner of the same name is replaced at once. A voter of the same name with another ID is
// replaced once the new replica has caught up and the old one is unresponsive or had the
// same address.
type JoinRequest struct {
	Member raft.Member `cbor:"1,keyasint"`
	// ArchiveCopied is true once the new replica has copied the leader's archive.
	ArchiveCopied bool `cbor:"2,keyasint"`
}

// JoinAnswer reports the progress of a joining replica.
type JoinAnswer struct {
	// Voter is true once the replica is a voter.
	Voter bool `cbor:"1,keyasint"`
	// Standby is true while the replica has caught up but there are enough voters. The
	// replica then repeats its JoinRequest from time to time.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// RetireRequest offers a voter's slot to a standby learner. If the request is lost, the
// voter remains a voter. A duplicate has no effect.
type RetireRequest struct {
	ID raft.ReplicaID `cbor:"1,keyasint"`
}

// RetireAnswer reports whether the voter may stop: Done is true if its slot was given to a
// learner, or the membership has no learner.
type RetireAnswer struct {
	Done bool `cbor:"1,keyasint"`
}
