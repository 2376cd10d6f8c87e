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
	// snapshotChunk is the size of one chunk in bytes.
	snapshotChunk = 256 << 10
	// chunkAttempts is how often a chunk is sent before the transfer fails.
	chunkAttempts = 3
	// installPollInterval is how often the sender polls whether the receiver is done.
	installPollInterval = 100 * time.Millisecond
)

// snapshotSender sends the newest snapshot of the store to other replicas, one
// transfer at a time to each. The set inProgress belongs to the loop; send runs in
// the background.
type snapshotSender struct {
	self       *localMember
	store      storage.Store
	client     *rpc.Client
	inProgress map[raft.ReplicaID]bool
}

// begin reports whether a transfer to a replica may start, and records that it has.
func (s *snapshotSender) begin(to raft.ReplicaID) bool {
	if s.inProgress[to] {
		return false
	}
	s.inProgress[to] = true
	return true
}

func (s *snapshotSender) end(to raft.ReplicaID) { delete(s.inProgress, to) }

// send moves the chunks and waits until the receiver has installed them. The first
// error ends the transfer; raft requests another one.
func (s *snapshotSender) send(ctx context.Context, to raft.Member, term uint64) (index uint64, err error) {
	meta, data, ok, err := s.store.OpenSnapshot()
	if err != nil {
		return 0, fmt.Errorf("open snapshot: %w", err)
	}
	if !ok {
		return 0, errors.New("there is no snapshot")
	}
	defer func() { _ = data.Close() }()
	chunk := protocol.SnapshotChunkRequest{From: s.self.id, To: to.ID, Term: term, Meta: meta, Address: s.self.address}
	buffer := make([]byte, snapshotChunk)
	for !chunk.Last {
		count, err := io.ReadFull(data, buffer)
		// io.ReadFull returns these two as they are; a wrapped one is a fault of the reader.
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

// sendChunk tries again if the call was lost; the receiver ignores duplicates.
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

// awaitInstalled repeats the last chunk until the receiver is done with it.
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
