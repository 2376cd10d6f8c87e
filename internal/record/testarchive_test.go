package record

import (
	"cmp"
	"maps"
	"slices"
)

// testArchive stores ended jobs in memory.
type testArchive struct {
	jobs     map[string]ArchivedJob
	putCalls int
}

func newTestArchive() *testArchive {
	return &testArchive{jobs: make(map[string]ArchivedJob)}
}

func (a *testArchive) clone() *testArchive {
	return &testArchive{jobs: maps.Clone(a.jobs)}
}

func (a *testArchive) Put(jobs []ArchivedJob) error {
	a.putCalls++
	for _, job := range jobs {
		a.jobs[job.ID] = job
	}
	return nil
}

func (a *testArchive) Get(id string) (ArchivedJob, bool, error) {
	job, found := a.jobs[id]
	return job, found, nil
}

func (a *testArchive) sorted(compare func(a, b ArchivedJob) int) []ArchivedJob {
	return slices.SortedFunc(maps.Values(a.jobs), compare)
}

func (a *testArchive) Page(uint64, string, int) ([]ArchivedJob, error) { return nil, nil }

func (a *testArchive) List(string, int) ([]ArchivedJob, error) { return nil, nil }

func (a *testArchive) Expire(before Millis, limit int) (int, error) {
	dropped := 0
	for _, job := range a.sorted(func(a, b ArchivedJob) int { return cmp.Compare(a.EndedAt, b.EndedAt) }) {
		if job.EndedAt >= before || dropped == limit {
			break
		}
		delete(a.jobs, job.ID)
		dropped++
	}
	return dropped, nil
}

func (a *testArchive) Bytes() int64 { return 0 }

func (a *testArchive) OldestEnd(int64, int) (Millis, int, error) { return 0, 0, nil }

func (a *testArchive) Sync() error { return nil }
