package storage

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/decklever/decklever/internal/record"
)

// MemoryArchive is a record.Archive for tests. Crash reverts it to the last Sync. Its
// methods may be called concurrently.
type MemoryArchive struct {
	mutex  sync.Mutex // guards the fields below
	jobs   map[string]record.ArchivedJob
	synced map[string]record.ArchivedJob
}

var _ record.Archive = (*MemoryArchive)(nil)

// NewMemoryArchive returns an empty archive.
func NewMemoryArchive() *MemoryArchive {
	return &MemoryArchive{
		jobs:   make(map[string]record.ArchivedJob),
		synced: make(map[string]record.ArchivedJob),
	}
}

// Crash discards all changes since the last Sync.
func (a *MemoryArchive) Crash() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.jobs = maps.Clone(a.synced)
}

// Put implements record.Archive.
func (a *MemoryArchive) Put(jobs []record.ArchivedJob) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, job := range jobs {
		a.jobs[job.ID] = job
	}
	return nil
}

// Get implements record.Archive.
func (a *MemoryArchive) Get(id string) (record.ArchivedJob, bool, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	job, found := a.jobs[id]
	return job, found, nil
}

// Page implements record.Archive.
func (a *MemoryArchive) Page(afterIndex uint64, afterID string, limit int) ([]record.ArchivedJob, error) {
	after := record.ArchivedJob{Index: afterIndex, ID: afterID}
	jobs := a.sorted(byIndex)
	jobs = slices.DeleteFunc(jobs, func(job record.ArchivedJob) bool { return byIndex(job, after) <= 0 })
	return jobs[:min(limit, len(jobs))], nil
}

// List implements record.Archive.
func (a *MemoryArchive) List(afterID string, limit int) ([]record.ArchivedJob, error) {
	jobs := a.sorted(func(x, y record.ArchivedJob) int { return strings.Compare(x.ID, y.ID) })
	jobs = slices.DeleteFunc(jobs, func(job record.ArchivedJob) bool { return job.ID <= afterID })
	return jobs[:min(limit, len(jobs))], nil
}

// Expire implements record.Archive.
func (a *MemoryArchive) Expire(before record.Millis, limit int) (int, error) {
	jobs := a.sorted(byEndedAt)
	jobs = slices.DeleteFunc(jobs, func(job record.ArchivedJob) bool { return job.EndedAt >= before })
	jobs = jobs[:min(limit, len(jobs))]
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, job := range jobs {
		delete(a.jobs, job.ID)
	}
	return len(jobs), nil
}

// memoryJobBytes is the assumed size of a job, in bytes.
const memoryJobBytes = 100

// Bytes implements record.Archive. It counts memoryJobBytes for each job.
func (a *MemoryArchive) Bytes() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return int64(len(a.jobs)) * memoryJobBytes
}

// OldestEnd implements record.Archive.
func (a *MemoryArchive) OldestEnd(size int64, limit int) (record.Millis, int, error) {
	jobs := a.sorted(byEndedAt)
	count := min(int((size+memoryJobBytes-1)/memoryJobBytes), limit, len(jobs))
	if count <= 0 {
		return 0, 0, nil
	}
	return jobs[count-1].EndedAt, count, nil
}

// Sync implements record.Archive.
func (a *MemoryArchive) Sync() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.synced = maps.Clone(a.jobs)
	return nil
}

// sorted returns all jobs in the given order.
func (a *MemoryArchive) sorted(order func(x, y record.ArchivedJob) int) []record.ArchivedJob {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.SortedFunc(maps.Values(a.jobs), order)
}

func byIndex(x, y record.ArchivedJob) int {
	return cmp.Or(cmp.Compare(x.Index, y.Index), strings.Compare(x.ID, y.ID))
}

func byEndedAt(x, y record.ArchivedJob) int {
	return cmp.Or(cmp.Compare(x.EndedAt, y.EndedAt), strings.Compare(x.ID, y.ID))
}
