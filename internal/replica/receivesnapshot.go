package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

// maxSnapshotBytes bounds what a receiver holds in memory.
const maxSnapshotBytes = 1 << 30

// snapshotReceiver collects the chunks of one transfer in memory.
type snapshotReceiver struct {
	mutex      sync.Mutex
	from       raft.ReplicaID
	address    string
	meta       raft.SnapshotMeta
	data       []byte
	installing bool
}

func (s *snapshotReceiver) matches(from raft.ReplicaID, meta raft.SnapshotMeta) bool {
	return s.from == from && s.meta.Index == meta.Index && s.meta.Term == meta.Term
}

func (s *snapshotReceiver) reset() {
	s.from, s.address, s.meta, s.data = "", "", raft.SnapshotMeta{}, nil
}

// take adds a chunk; complete is true once, with the last one.
func (s *snapshotReceiver) addChunk(chunk protocol.SnapshotChunkRequest) (complete bool, err error) {
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
	held, end := uint64(len(s.data)), chunk.Offset+uint64(len(chunk.Data))
	if chunk.Offset > held {
		return false, fmt.Errorf("chunk at %d leaves a gap after %d", chunk.Offset, held)
	}
	if end > maxSnapshotBytes {
		s.reset()
		return false, fmt.Errorf("snapshot is larger than %d bytes", maxSnapshotBytes)
	}
	if end > held {
		s.data = append(s.data, chunk.Data[held-chunk.Offset:]...)
	}
	s.installing = chunk.Last
	return chunk.Last, nil
}

// finish makes room for the next transfer.
func (s *snapshotReceiver) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset()
	s.installing = false
}

// serveSnapshotChunk takes a chunk, and answers Installed once the log here
// reaches the snapshot.
func (r *Replica) serveSnapshotChunk(_ context.Context, chunk protocol.SnapshotChunkRequest) (protocol.SnapshotChunkAnswer, error) {
	var answer protocol.SnapshotChunkAnswer
	if !r.running.Load() {
		return answer, errNotRunning
	}
	if err := r.checkReceiver(chunk.To); err != nil {
		return answer, err
	}
	status := r.status.Load()
	if chunk.Term < status.Term {
		return answer, &rpc.Error{Code: rpc.CodeUnavailable, Message: fmt.Sprintf("term %d is over", chunk.Term)}
	}
	if r.applied.load() >= chunk.Meta.Index {
		return protocol.SnapshotChunkAnswer{Installed: true}, nil
	}
	complete, err := r.snapshotReceiver.addChunk(chunk)
	if err != nil {
		return answer, &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	if complete {
		r.startInstall()
	}
	return answer, nil
}

// snapshotSource reads the collected bytes, as often as needed.
type snapshotSource struct{ data []byte }

func (s *snapshotSource) reader() io.Reader { return bytes.NewReader(s.data) }

func (s *snapshotSource) size() int { return len(s.data) }

func (r *Replica) startInstall() {
	started := r.startBackground(func(ctx context.Context) {
		defer r.snapshotReceiver.finish()
		if err := r.installReceivedSnapshot(ctx); err != nil && ctx.Err() == nil && !errors.Is(err, errSnapshotStale) {
			r.logger.Warn("snapshot not installed", "index", r.snapshotReceiver.meta.Index, "error", err)
		}
	})
	if !started {
		r.snapshotReceiver.finish()
	}
}

// installReceivedSnapshot copies the archive first: the snapshot leaves ended jobs out. While
// installing is set nobody changes what was collected.
func (r *Replica) installReceivedSnapshot(ctx context.Context) error {
	meta := r.snapshotReceiver.meta
	if err := r.copyArchive(ctx, r.snapshotReceiver.address); err != nil {
		return err
	}
	source := &snapshotSource{data: r.snapshotReceiver.data}
	return r.runOnLoop(ctx, func(l *loop) error { return l.installSnapshot(meta, source) })
}
