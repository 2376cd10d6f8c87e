package replica

import (
	"context"
	"fmt"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

// archiveCopier remembers up to where the archive was copied from others.
//
// A snapshot leaves ended jobs out, so before one is installed the archive
// pages after the last entry applied here are copied and synced. A crash in
// between starts again from the old state and copies again. Jobs that ended
// later than the snapshot may come along; the record does not see them until
// it applies the entries that ended them.
type archiveCopier struct {
	// turn is held while a page is on its way: one copies at a time, and whoever
	// waits for that can give up.
	semaphore chan struct{}
	position  archivePosition
}

func newArchiveCopier() archiveCopier { return archiveCopier{semaphore: make(chan struct{}, 1)} }

// take waits until nobody else copies. Its error is the context's.
func (c *archiveCopier) acquire(ctx context.Context) error {
	select {
	case c.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for another copy of the archive: %w", ctx.Err())
	}
}

func (c *archiveCopier) release() { <-c.semaphore }

// archivePosition is a place in the order of (Index, ID).
type archivePosition struct {
	index uint64
	id    string
}

// copyArchive copies what the replica at address has and this one lacks.
func (r *Replica) copyArchive(ctx context.Context, address string) error {
	if err := r.archive.acquire(ctx); err != nil {
		return err
	}
	defer r.archive.release()
	if applied := r.applied.load(); applied > r.archive.position.index {
		// All that ended up to here was archived when it was applied. The next
		// index comes after every id of this one.
		r.archive.position = archivePosition{index: applied + 1}
	}
	copied := 0
	for {
		count, err := r.copyArchivePage(ctx, address)
		if err != nil {
			return err
		}
		copied += count
		if count == 0 {
			break
		}
	}
	if copied == 0 {
		return nil
	}
	if err := r.config.Store.Archive().Sync(); err != nil {
		return fmt.Errorf("sync archive: %w", err)
	}
	r.logger.Info("archive copied", "jobs", copied, "from", address)
	return nil
}

func (r *Replica) copyArchivePage(ctx context.Context, address string) (int, error) {
	request := protocol.ArchivePageRequest{
		AfterIndex: r.archive.position.index,
		AfterID:    r.archive.position.id,
		Limit:      maxArchivePage,
	}
	page, err := rpc.Call[protocol.ArchivePageRequest, protocol.ArchivePageAnswer](ctx, r.config.Client, address, protocol.MethodArchivePage, request)
	if err != nil {
		return 0, fmt.Errorf("copy archive: %w", err)
	}
	count := len(page.Jobs)
	if count == 0 {
		return 0, nil
	}
	if err := r.config.Store.Archive().Put(page.Jobs); err != nil {
		return 0, fmt.Errorf("copy archive: %w", err)
	}
	last := page.Jobs[count-1]
	r.archive.position = archivePosition{index: last.Index, id: last.ID}
	return count, nil
}
