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

// maxSnapshotBytes bounds what a receiver holds in memory.
const maxSnapshotBytes = 1 << 30

// snapshotReceiver takes the chunks of a snapshot from the leader and has it
// installed: first the archive up to it is copied, then the loop replaces record,
// store and log.
type snapshotReceiver struct {
	published  *published
	mailbox    *mailbox
	background *backgroundTasks
	archive    *archiveCopier
	logger     *slog.Logger

	incoming incomingSnapshot
}

// serveChunk takes a chunk. It answers Installed once the log here reaches the
// snapshot.
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

// install copies the archive first, as a snapshot leaves ended jobs out. It reads
// incoming without the lock: while installing is set nobody changes it.
func (r *snapshotReceiver) install(ctx context.Context) error {
	received := receivedSnapshot{meta: r.incoming.meta, data: r.incoming.data}
	if err := r.archive.copyFrom(ctx, r.incoming.address); err != nil {
		return err
	}
	return r.mailbox.runOnLoop(ctx, func(l *loop) error { return l.installSnapshot(received) })
}

// receivedSnapshot is complete.
type receivedSnapshot struct {
	meta raft.SnapshotMeta
	data []byte
}

// reader reads the snapshot from its start, as often as needed.
func (s receivedSnapshot) reader() io.Reader { return bytes.NewReader(s.data) }

// incomingSnapshot collects the chunks of one transfer in memory.
type incomingSnapshot struct {
	mutex   sync.Mutex // guards all below
	from    raft.ReplicaID
	address string
	meta    raft.SnapshotMeta
	data    []byte
	// installing is true from the last chunk until finish.
	installing bool
}

func (s *incomingSnapshot) matches(from raft.ReplicaID, meta raft.SnapshotMeta) bool {
	return s.from == from && s.meta.Index == meta.Index && s.meta.Term == meta.Term
}

func (s *incomingSnapshot) reset() {
	s.from, s.address, s.meta, s.data = "", "", raft.SnapshotMeta{}, nil
}

// add takes a chunk; complete is true once, with the last one.
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

// finish lets the next transfer begin.
func (s *incomingSnapshot) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset()
	s.installing = false
}
