package protocol

import (
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// RaftRequest carries messages of the replicated log from one replica to another. It has
// no answer but its receipt. Raft repairs the loss of messages.
type RaftRequest struct {
	Messages []raft.Message `cbor:"1,keyasint"`
	// Sender is where to answer to if the receiver's membership does not list the sender
	// yet.
	Sender raft.Member `cbor:"2,keyasint"`
}

// SnapshotChunkRequest carries a chunk of a snapshot. The receiver takes chunks in the
// order of Offset. It ignores a duplicate and rejects a gap; the sender then starts again.
type SnapshotChunkRequest struct {
	From raft.ReplicaID `cbor:"1,keyasint"`
	To   raft.ReplicaID `cbor:"2,keyasint"`
	// Term is the sender's term.
	Term uint64            `cbor:"3,keyasint"`
	Meta raft.SnapshotMeta `cbor:"4,keyasint"`
	// Offset is the position of Data in the snapshot, in bytes.
	Offset uint64 `cbor:"5,keyasint"`
	Data   []byte `cbor:"6,keyasint"`
	// Last is true for the chunk that ends the snapshot.
	Last bool `cbor:"7,keyasint"`
	// Address is the sender's. The receiver reads the archive from there, as no membership
	// that it knows need list the sender.
	Address string `cbor:"8,keyasint"`
}

// SnapshotChunkAnswer says that a chunk was taken. The sender repeats the last chunk until
// Installed is true.
type SnapshotChunkAnswer struct {
	Installed bool `cbor:"1,keyasint"`
}

// ArchivePageRequest asks for the archived jobs after a position in the archive.
type ArchivePageRequest struct {
	// AfterIndex and AfterID are the position: the log index at which a job was archived,
	// and its id.
	AfterIndex uint64 `cbor:"1,keyasint"`
	AfterID    string `cbor:"2,keyasint"`
	// Limit is the greatest number of jobs in the answer.
	Limit int `cbor:"3,keyasint"`
}

// ArchivePageAnswer has the next archived jobs; none at the end of the archive.
type ArchivePageAnswer struct {
	Jobs []record.ArchivedJob `cbor:"1,keyasint"`
}

// ReadIndexAnswer has a read point: once a replica has applied Index, its state reflects
// all that was acknowledged before the request.
type ReadIndexAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}
