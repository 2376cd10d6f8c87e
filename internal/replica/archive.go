package replica

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
)

// maxArchivePageJobs is the maximum number of jobs in one ArchivePageAnswer.
const maxArchivePageJobs = 256

// archiveCopier copies the archive of ended jobs from other replicas, and serves the
// archive of this replica to them.
//
// A snapshot does not contain ended jobs. Before a snapshot is installed, the archive
// pages after the last entry applied by this replica are therefore copied and synced.
// After a crash between the two, the replica restarts from its old state and copies again.
// The copy may include jobs that ended after the snapshot; the record does not see them
// until it applies the entries that ended them.
type archiveCopier struct {
	published *published
	archive   record.Archive
	client    *rpc.Client
	logger    *slog.Logger

	// semaphore has capacity 1 and is full while a copy is in progress. It is a channel
	// rather than a mutex so that a waiting caller can be canceled.
	semaphore chan struct{}
	// position is the position after which the next page starts. It is guarded by
	// semaphore.
	position archivePosition
}

// archivePosition is a position in the archive, which is ordered by log index and then by
// job id.
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

// acquire waits until no other copy is in progress. It fails only if ctx ends first, and
// then wraps the error of ctx.
func (c *archiveCopier) acquire(ctx context.Context) error {
	select {
	case c.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for another copy of the archive: %w", ctx.Err())
	}
}

func (c *archiveCopier) release() { <-c.semaphore }

// copyFrom copies the archived jobs that this replica lacks from the replica at address,
// and syncs the archive if it copied any.
func (c *archiveCopier) copyFrom(ctx context.Context, address string) error {
	if err := c.acquire(ctx); err != nil {
		return err
	}
	defer c.release()
	if applied := c.published.applied.load(); applied > c.position.index {
		// Every job that ended up to the applied index was archived when its entry was
		// applied. Index applied+1 with an empty id sorts after every id at applied.
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

// copyPage copies the next page and returns the number of jobs on it; 0 at the end of the
// archive.
func (c *archiveCopier) copyPage(ctx context.Context, address string) (int, error) {
	request := protocol.ArchivePageRequest{
		AfterIndex: c.position.index,
		AfterID:    c.position.id,
		Limit:      maxArchivePageJobs,
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

// servePage returns the page of archived jobs after the requested position.
func (c *archiveCopier) servePage(_ context.Context, request protocol.ArchivePageRequest) (protocol.ArchivePageAnswer, error) {
	limit := request.Limit
	if limit <= 0 || limit > maxArchivePageJobs {
		limit = maxArchivePageJobs
	}
	jobs, err := c.archive.Page(request.AfterIndex, request.AfterID, limit)
	if err != nil {
		return protocol.ArchivePageAnswer{}, fmt.Errorf("read archive: %w", err)
	}
	return protocol.ArchivePageAnswer{Jobs: jobs}, nil
}
