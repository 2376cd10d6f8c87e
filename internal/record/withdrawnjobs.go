package record

const (
	// withdrawnRetention is how long a withdrawn job is kept, in milliseconds: longer than a
	// submission can be held up on its way.
	withdrawnRetention Millis = 10 * 60 * 1000
	// maxWithdrawnJobs limits the withdrawn jobs; the oldest are dropped first.
	maxWithdrawnJobs = 10_000
)

// withdrawnJob is a job that was cancelled while it was not known, so that its submission may
// still be on its way. It is stored in snapshots.
type withdrawnJob struct {
	ID string `cbor:"1,keyasint"`
	// At is the time of the cancel.
	At Millis `cbor:"2,keyasint"`
}

// withdrawnTable has the withdrawn jobs of the last withdrawnRetention, at most
// maxWithdrawnJobs of them.
type withdrawnTable struct {
	byID map[string]Millis
	// oldestFirst has the same jobs. Its elements are never changed, so that a capture may
	// share the slice.
	oldestFirst []withdrawnJob
}

func newWithdrawnTable() withdrawnTable {
	return withdrawnTable{byID: make(map[string]Millis)}
}

// has reports whether a job is withdrawn.
func (t *withdrawnTable) has(id string) bool {
	_, withdrawn := t.byID[id]
	return withdrawn
}

// add withdraws a job. A job that is withdrawn already keeps its time.
func (t *withdrawnTable) add(job withdrawnJob) {
	if t.has(job.ID) {
		return
	}
	t.byID[job.ID] = job.At
	t.oldestFirst = append(t.oldestFirst, job)
	if len(t.oldestFirst) > maxWithdrawnJobs {
		t.dropOldest()
	}
}

// expire drops the jobs that were withdrawn withdrawnRetention ago or earlier.
func (t *withdrawnTable) expire(now Millis) {
	for len(t.oldestFirst) > 0 && t.oldestFirst[0].At+withdrawnRetention <= now {
		t.dropOldest()
	}
}

func (t *withdrawnTable) dropOldest() {
	delete(t.byID, t.oldestFirst[0].ID)
	t.oldestFirst = t.oldestFirst[1:]
}
