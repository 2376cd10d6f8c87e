package protocol

import (
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// RaftRequest carries raft messages from one replica to another. Its answer only confirms
// receipt. Raft tolerates the loss of messages.
type RaftRequest struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	// Sender contains the address for responses if the receiver's membership does not
	// list the sender yet.
	Sender raft.Member `cbor:"2,keyasint"`
}

// SnapshotChunkRequest carries a chunk of a snapshot. The receiver accepts chunks in the
// order of Offset. It ignores a duplicate and rejects a gap, which ends the transfer; raft
// then requests a new one.
type SnapshotChunkRequest struct {
	From raft.ReplicaID `cbor:"1,keyasint"`
	To   raft.ReplicaID `cbor:"2,keyasint"`
	// Term is the sender's term.
	Term uint64            `cbor:"3,keyasint"`
	Meta raft.SnapshotMeta `cbor:"4,keyasint"`
	// Offset is the position of Data in the snapshot, in bytes.
	Offset uint64 `cbor:"5,keyasint"`
	Data   []byte `cbor:"6,keyasint"`
	// Last is true for the final chunk of the snapshot.
	Last bool `cbor:"7,keyasint"`
	// Address is the sender's address. The receiver reads the archive from it, because the
	// memberships that the receiver knows may not list the sender.
	Address string `cbor:"8,keyasint"`
}

// SnapshotChunkAnswer confirms that a chunk was accepted. The sender repeats the last
// chunk until Installed is true.
type SnapshotChunkAnswer struct {
	Installed bool `cbor:"1,keyasint"`
}

// ArchivePageRequest requests the archived jobs after a position in the archive.
type ArchivePageRequest struct {
	// AfterIndex and AfterID are the position: the log index at which a job was archived,
	// and the job's ID.
	AfterIndex uint64 `cbor:"1,keyasint"`
	AfterID    string `cbor:"2,keyasint"`
	// Limit is the maximum number of jobs in the answer.
	Limit int `cbor:"3,keyasint"`
}

// ArchivePageAnswer contains the next archived jobs; none at the end of the archive.
type ArchivePageAnswer struct {
	Jobs []record.ArchivedJob `cbor:"1,keyasint"`
}

// ReadIndexAnswer contains a read index: once a replica has applied Index, its state
// reflects every write that was acknowledged before the request.
type ReadIndexAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}
