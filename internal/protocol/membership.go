package protocol

import "github.com/decklever/decklever/internal/raft"

// IdentityAnswer says who a scheduler is. A new cluster is bootstrapped only when every
// seed answers and all are Empty.
type IdentityAnswer struct {
	Member raft.Member `cbor:"1,keyasint"`
	// Empty is true for a replica that has no log and was never part of a cluster.
	Empty bool `cbor:"2,keyasint"`
	// LeaderAddress is the leader that the scheduler knows; empty if it knows none.
	LeaderAddress string `cbor:"3,keyasint"`
	// Bootstrapping is true while the replica waits to bootstrap a new cluster with
	// exactly the seeds that it was given.
	Bootstrapping bool `cbor:"4,keyasint"`
	// Membership is the newest that the replica knows, or the one that a bootstrapping
	// replica proposes.
	Membership raft.Membership `cbor:"5,keyasint"`
	// InitialMembership is the membership that the cluster began with, while the replica
	// still has it. A bootstrapping replica that is late starts from it.
	InitialMembership *raft.Membership `cbor:"6,keyasint,omitempty"`
	// Relay is true for a scheduler without a data folder. It is no replica: only its
	// LeaderAddress has a meaning, and nobody waits for it.
	Relay bool `cbor:"7,keyasint,omitempty"`
}

// JoinRequest asks the leader to add a replica. A duplicate has no effect. A member of the
// same name with another id is replaced once the new replica has caught up and the old
// one is silent.
type JoinRequest struct {
	Member raft.Member `cbor:"1,keyasint"`
	// ArchiveCopied is true once the new replica has the archive up to the leader's own.
	ArchiveCopied bool `cbor:"2,keyasint"`
}

// JoinAnswer says how far a new replica is.
type JoinAnswer struct {
	// Voter is true once the replica is a voter.
	Voter bool `cbor:"1,keyasint"`
	// Standby is true while the replica has caught up and there are voters enough. It
	// then asks again from time to time.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// RetireRequest offers a voter's slot to a learner that stands by. If it is lost, the
// voter keeps its slot. A duplicate has no effect.
type RetireRequest struct {
	ID raft.ReplicaID `cbor:"1,keyasint"`
}

// RetireAnswer says whether the voter may stop: its slot was given to a learner, or there
// is no learner to give it to.
type RetireAnswer struct {
	Done bool `cbor:"1,keyasint"`
}
