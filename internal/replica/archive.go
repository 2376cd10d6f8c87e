package replica

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
)

// maxArchivePage bounds the jobs of one ArchivePageAnswer.
const maxArchivePage = 256

// archiveCopier copies the archive of ended jobs from other replicas, and serves the
// own one to them.
//
// A snapshot leaves ended jobs out, so before one is installed the archive pages after
// the last entry applied here are copied and synced. A crash in between starts again
// from the old state and copies again. Jobs that ended later than the snapshot may come
// along; the record does not see them until it applies the entries that ended them.
type archiveCopier struct {
	published *published
	archive   record.Archive
	client    *rpc.Client
	logger    *slog.Logger

	// semaphore, of capacity 1, is filled while a copy is in progress. A channel, so
	// that a caller who waits for it can give up.
	semaphore chan struct{}
	// position is up to where the archive was copied. It belongs to the holder of
	// the semaphore.
	position archivePosition
}

// archivePosition is a position in the order of (index, id).
type archivePosition struct {
	index uint64
	id    string
}

func newArchiveCopier(published *published, archive record.Archive, client *rpc.Client, logger *slog.Logger) *archiveCopier {
	return &archiveCopier{
		published: published,
		archive:   archive,
		client:    client,
		logger:    logger,
		semaphore: make(chan struct{}, 1),
	}
}

// acquire waits until no other copy is in progress. Its error is the context's.
func (c *archiveCopier) acquire(ctx context.Context) error {
	select {
	case c.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for another copy of the archive: %w", ctx.Err())
	}
}

func (c *archiveCopier) release() { <-c.semaphore }

// copyFrom copies what the replica at address has and this one lacks.
func (c *archiveCopier) copyFrom(ctx context.Context, address string) error {
	if err := c.acquire(ctx); err != nil {
		return err
	}
	defer c.release()
	if applied := c.published.applied.load(); applied > c.position.index {
		// All that ended up to here was archived when it was applied. The next
		// index comes after every id of this one.
		c.position = archivePosition{index: applied + 1}
	}
	copied := 0
	for {
		count, err := c.copyPage(ctx, address)
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
	if err := c.archive.Sync(); err != nil {
		return fmt.Errorf("sync archive: %w", err)
	}
	c.logger.Info("archive copied", "jobs", copied, "from", address)
	return nil
}

// copyPage copies the next page and returns the number of its jobs.
func (c *archiveCopier) copyPage(ctx context.Context, address string) (int, error) {
	request := protocol.ArchivePageRequest{
		AfterIndex: c.position.index,
		AfterID:    c.position.id,
		Limit:      maxArchivePage,
	}
	page, err := rpc.Call[protocol.ArchivePageRequest, protocol.ArchivePageAnswer](ctx, c.client, address, protocol.MethodArchivePage, request)
	if err != nil {
		return 0, fmt.Errorf("copy archive: %w", err)
	}
	count := len(page.Jobs)
	if count == 0 {
		return 0, nil
	}
	if err := c.archive.Put(page.Jobs); err != nil {
		return 0, fmt.Errorf("copy archive: %w", err)
	}
	last := page.Jobs[count-1]
	c.position = archivePosition{index: last.Index, id: last.ID}
	return count, nil
}

func (c *archiveCopier) servePage(_ context.Context, request protocol.ArchivePageRequest) (protocol.ArchivePageAnswer, error) {
	limit := request.Limit
	if limit <= 0 || limit > maxArchivePage {
		limit = maxArchivePage
	}
	jobs, err := c.archive.Page(request.AfterIndex, request.AfterID, limit)
	if err != nil {
		return protocol.ArchivePageAnswer{}, fmt.Errorf("read archive: %w", err)
	}
	return protocol.ArchivePageAnswer{Jobs: jobs}, nil
}
