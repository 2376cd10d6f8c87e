package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// maxSnapshotBytes is the maximum size of a received snapshot, which is held in memory.
const maxSnapshotBytes = 1 << 30

// snapshotReceiver receives a snapshot from the leader in chunks and installs it: it
// copies the archive of ended jobs first, and then the loop replaces record, store and log.
type snapshotReceiver struct {
	published  *published
	mailbox    *mailbox
	background *backgroundTasks
	archive    *archiveCopier
	logger     *slog.Logger

	incoming incomingSnapshot
}

// serveChunk adds a chunk to the incoming snapshot, and starts the installation after the
// last chunk. It answers Installed once this replica has applied up to the snapshot's index.
func (r *snapshotReceiver) serveChunk(_ context.Context, chunk protocol.SnapshotChunkRequest) (protocol.SnapshotChunkAnswer, error) {
	var answer protocol.SnapshotChunkAnswer
	if !r.published.running.Load() {
		return answer, errNotRunning
	}
	if err := r.published.checkReceiver(chunk.To); err != nil {
		return answer, err
	}
	status := r.published.status.Load()
	if chunk.Term < status.Term {
		return answer, &rpc.Error{Code: rpc.CodeUnavailable, Message: fmt.Sprintf("term %d is over", chunk.Term)}
	}
	if r.published.applied.load() >= chunk.Meta.Index {
		return protocol.SnapshotChunkAnswer{Installed: true}, nil
	}
	complete, err := r.incoming.add(chunk)
	if err != nil {
		return answer, &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	if complete {
		r.startInstall()
	}
	return answer, nil
}

// startInstall installs the incoming snapshot in the background, and then allows the next
// transfer.
func (r *snapshotReceiver) startInstall() {
	started := r.background.runIfOpen(func(ctx context.Context) {
		defer r.incoming.finish()
		if err := r.install(ctx); err != nil && ctx.Err() == nil && !errors.Is(err, errSnapshotStale) {
			r.logger.Warn("snapshot not installed", "index", r.incoming.meta.Index, "error", err)
		}
	})
	if !started {
		r.incoming.finish()
	}
}

// install copies the archive, because a snapshot does not contain ended jobs, and then
// installs the snapshot in the loop. It reads incoming without the lock: no other goroutine
// changes incoming while installing is set.
func (r *snapshotReceiver) install(ctx context.Context) error {
	received := receivedSnapshot{meta: r.incoming.meta, data: r.incoming.data}
	if err := r.archive.copyFrom(ctx, r.incoming.address); err != nil {
		return err
	}
	return r.mailbox.runOnLoop(ctx, func(l *loop) error { return l.installSnapshot(received) })
}

// receivedSnapshot is a completely received snapshot.
type receivedSnapshot struct {
	meta raft.SnapshotMeta
	data []byte
}

// reader returns a new reader that starts at the beginning of the snapshot.
func (s receivedSnapshot) reader() io.Reader { return bytes.NewReader(s.data) }

// incomingSnapshot collects the chunks of one transfer in memory.
type incomingSnapshot struct {
	mutex   sync.Mutex        // guards all fields below
	from    raft.ReplicaID    // sender; empty if there is no transfer
	address string            // of the sender
	meta    raft.SnapshotMeta // of the snapshot in transfer
	data    []byte            // received so far
	// installing is true from the last chunk until finish is called.
	installing bool
}

// matches reports whether a chunk from this sender, of this snapshot, belongs to the
// current transfer.
func (s *incomingSnapshot) matches(from raft.ReplicaID, meta raft.SnapshotMeta) bool {
	return s.from == from && s.meta.Index == meta.Index && s.meta.Term == meta.Term
}

func (s *incomingSnapshot) reset() {
	s.from, s.address, s.meta, s.data = "", "", raft.SnapshotMeta{}, nil
}

// add appends a chunk. It ignores bytes that it already has, and fails on a gap, on a
// snapshot larger than maxSnapshotBytes, and on a chunk of another snapshot unless that
// chunk starts a new transfer. complete is true only for the call that adds the last chunk.
func (s *incomingSnapshot) add(chunk protocol.SnapshotChunkRequest) (complete bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.installing && s.matches(chunk.From, chunk.Meta):
		return false, nil
	case s.installing:
		return false, errors.New("another snapshot is being installed")
	case !s.matches(chunk.From, chunk.Meta) && chunk.Offset == 0:
		s.from, s.address, s.meta, s.data = chunk.From, chunk.Address, chunk.Meta, nil
	case !s.matches(chunk.From, chunk.Meta):
		return false, errors.New("another snapshot is being received")
	}
	received, end := uint64(len(s.data)), chunk.Offset+uint64(len(chunk.Data))
	if chunk.Offset > received {
		return false, fmt.Errorf("chunk at offset %d leaves a gap after %d bytes", chunk.Offset, received)
	}
	if end > maxSnapshotBytes {
		s.reset()
		return false, fmt.Errorf("snapshot is larger than %d bytes", maxSnapshotBytes)
	}
	if end > received {
		s.data = append(s.data, chunk.Data[received-chunk.Offset:]...)
	}
	s.installing = chunk.Last
	return chunk.Last, nil
}

// finish discards the transfer, so that the next one can begin.
func (s *incomingSnapshot) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset()
	s.installing = false
}
