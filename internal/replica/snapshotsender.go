package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

const (
	// snapshotChunkBytes is the size of one chunk in bytes.
	snapshotChunkBytes = 256 << 10
	// chunkAttempts is how often a chunk is sent, after transport errors, before the
	// transfer fails.
	chunkAttempts = 3
	// installPollInterval is how often the sender polls whether the receiver has
	// installed the snapshot.
	installPollInterval = 100 * time.Millisecond
)

// snapshotSender sends the newest snapshot of the store to other replicas, with at most
// one transfer at a time to each replica. send runs in the background; all other methods
// are called by the loop.
type snapshotSender struct {
	self   *localMember
	store  storage.Store
	client *rpc.Client
	// inProgress is the set of receivers of current transfers. It belongs to the loop.
	inProgress map[raft.ReplicaID]bool
}

// begin records the start of a transfer to a replica. It returns false if a transfer to the
// replica is in progress.
func (s *snapshotSender) begin(to raft.ReplicaID) bool {
	if s.inProgress[to] {
		return false
	}
	s.inProgress[to] = true
	return true
}

// end records that the transfer to a replica is over.
func (s *snapshotSender) end(to raft.ReplicaID) { delete(s.inProgress, to) }

// send sends the newest snapshot in chunks, waits until the receiver has installed it, and
// returns the snapshot's index. An error ends the transfer; raft requests another one.
func (s *snapshotSender) send(ctx context.Context, to raft.Member, term uint64) (index uint64, err error) {
	meta, data, ok, err := s.store.OpenSnapshot()
	if err != nil {
		return 0, fmt.Errorf("open snapshot: %w", err)
	}
	if !ok {
		return 0, errors.New("store holds no snapshot")
	}
	defer func() { _ = data.Close() }()
	chunk := protocol.SnapshotChunkRequest{From: s.self.id, To: to.ID, Term: term, Meta: meta, Address: s.self.address}
	buffer := make([]byte, snapshotChunkBytes)
	for !chunk.Last {
		count, err := io.ReadFull(data, buffer)
		// io.ReadFull returns io.EOF and io.ErrUnexpectedEOF unwrapped; a wrapped one is an
		// error of the reader.
		if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF { //nolint:errorlint // see above
			return 0, fmt.Errorf("read snapshot: %w", err)
		}
		chunk.Offset += uint64(len(chunk.Data))
		chunk.Data, chunk.Last = buffer[:count], err != nil
		installed, err := s.sendChunk(ctx, to.Address, chunk)
		if err != nil {
			return 0, err
		}
		if installed {
			return meta.Index, nil
		}
	}
	return meta.Index, s.awaitInstalled(ctx, to.Address, chunk)
}

// sendChunk sends a chunk and retries after transport errors, up to chunkAttempts attempts
// in total. The receiver ignores duplicates.
func (s *snapshotSender) sendChunk(ctx context.Context, address string, chunk protocol.SnapshotChunkRequest) (installed bool, err error) {
	for range chunkAttempts {
		var answer protocol.SnapshotChunkAnswer
		answer, err = rpc.Call[protocol.SnapshotChunkRequest, protocol.SnapshotChunkAnswer](ctx, s.client, address, protocol.MethodSnapshotChunk, chunk)
		var rejection *rpc.Error
		if err == nil || !errors.As(err, &rejection) || rejection.Code != rpc.CodeTransport {
			return answer.Installed, err
		}
	}
	return false, err
}

// awaitInstalled repeats the last chunk until the receiver answers that the snapshot is
// installed.
func (s *snapshotSender) awaitInstalled(ctx context.Context, address string, last protocol.SnapshotChunkRequest) error {
	for {
		if !contexttime.Sleep(ctx, installPollInterval) {
			return ctx.Err()
		}
		installed, err := s.sendChunk(ctx, address, last)
		if err != nil || installed {
			return err
		}
	}
}
