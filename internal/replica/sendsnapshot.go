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
)

const (
	// snapshotChunk is the size of one chunk in bytes.
	snapshotChunk = 256 << 10
	// chunkAttempts is how often a chunk is sent before the transfer starts again.
	chunkAttempts = 3
	// installPollInterval is how often the sender asks whether the receiver is done.
	installPollInterval = 100 * time.Millisecond
)

// startSnapshotTransfer sends the newest snapshot to a replica in the background; one
// at a time to each.
func (l *loop) startSnapshotTransfer(to raft.ReplicaID) {
	if l.snapshotTransfers[to] {
		return
	}
	member, known := findMember(l.node.Status().Membership, to)
	if !known {
		return
	}
	l.snapshotTransfers[to] = true
	term := l.node.Status().Term
	l.background.Go(func() {
		index, err := l.sendSnapshot(l.ctx, member, term)
		if err != nil && l.ctx.Err() == nil {
			l.logger.Warn("snapshot not sent", "to", string(to), "error", err)
		}
		_ = l.runOnLoop(l.ctx, func(l *loop) error {
			delete(l.snapshotTransfers, to)
			l.node.ReportSnapshot(l.now(), to, index, err == nil)
			return nil
		})
	})
}

// sendSnapshot moves the chunks and waits until the receiver has installed
// them. The first error ends the transfer; raft asks for another one.
func (r *Replica) sendSnapshot(ctx context.Context, to raft.Member, term uint64) (index uint64, err error) {
	meta, data, ok, err := r.config.Store.OpenSnapshot()
	if err != nil {
		return 0, fmt.Errorf("open snapshot: %w", err)
	}
	if !ok {
		return 0, errors.New("there is no snapshot")
	}
	defer func() { _ = data.Close() }()
	chunk := protocol.SnapshotChunkRequest{From: r.self.ID, To: to.ID, Term: term, Meta: meta, Address: r.config.Address}
	buffer := make([]byte, snapshotChunk)
	for !chunk.Last {
		count, err := io.ReadFull(data, buffer)
		if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
			return 0, fmt.Errorf("read snapshot: %w", err)
		}
		chunk.Offset += uint64(len(chunk.Data))
		chunk.Data, chunk.Last = buffer[:count], err != nil
		installed, err := r.sendChunk(ctx, to.Address, chunk)
		if err != nil {
			return 0, err
		}
		if installed {
			return meta.Index, nil
		}
	}
	return meta.Index, r.awaitInstalled(ctx, to.Address, chunk)
}

// sendChunk tries a few times; a doubled chunk is ignored there.
func (r *Replica) sendChunk(ctx context.Context, address string, chunk protocol.SnapshotChunkRequest) (installed bool, err error) {
	for range chunkAttempts {
		var answer protocol.SnapshotChunkAnswer
		answer, err = rpc.Call[protocol.SnapshotChunkRequest, protocol.SnapshotChunkAnswer](ctx, r.config.Client, address, protocol.MethodSnapshotChunk, chunk)
		var refusal *rpc.Error
		if err == nil || !errors.As(err, &refusal) || refusal.Code != rpc.CodeTransport {
			return answer.Installed, err
		}
	}
	return false, err
}

// awaitInstalled repeats the last chunk until the receiver is done with it.
func (r *Replica) awaitInstalled(ctx context.Context, address string, last protocol.SnapshotChunkRequest) error {
	for {
		if !contexttime.Sleep(ctx, installPollInterval) {
			return ctx.Err()
		}
		installed, err := r.sendChunk(ctx, address, last)
		if err != nil || installed {
			return err
		}
	}
}
