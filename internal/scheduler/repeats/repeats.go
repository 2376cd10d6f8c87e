// Package repeats tracks the live jobs with occurrences that are not yet in the record,
// and determines when to add which. It has no clock, lock or goroutine: the caller passes
// the cluster time and serializes the calls.
package repeats

import (
	"container/heap"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/record"
)

const (
	// expandAheadMillis is how long before its due time an occurrence is added to the
	// record, so that its tasks can be placed as soon as it is due.
	expandAheadMillis = 300
	// expandRetryMillis is the delay before another attempt to add an occurrence that the
	// record rejected because the job has too many open tasks.
	expandRetryMillis = 500
	// MaxExpansionTasks limits the tasks that one command adds, apart from those of its
	// first occurrence, and thereby how long the record is locked.
	MaxExpansionTasks = 4096
)

// repeatingJob is a live job with occurrences that are not yet in the record.
type repeatingJob struct {
	id   string
	spec *api.RepeatSpec
	// tasks is the number of tasks of one occurrence.
	tasks int
	// next is the number of the next occurrence to add.
	next int
	// addAt is when to add it, on the cluster clock.
	addAt record.Millis
	// heapIndex is the job's index in the heap, or indexheap.None while an expansion of
	// it is being committed.
	heapIndex int
}

// Before implements indexheap.Item: the job with the earliest addAt is first.
func (j *repeatingJob) Before(other *repeatingJob) bool { return j.addAt < other.addAt }

// SetPosition implements indexheap.Item.
func (j *repeatingJob) SetPosition(position int) { j.heapIndex = position }

// Jobs holds the repeating jobs, ordered by when their next occurrence is to be added.
type Jobs struct {
	byID map[string]*repeatingJob
	heap indexheap.Heap[*repeatingJob]
}

// New returns an empty Jobs.
func New() Jobs { return Jobs{byID: make(map[string]*repeatingJob)} }

// Add adds a live job, unless it has no occurrences left to add.
func (r *Jobs) Add(job *record.Job) {
	if job.Repetition == nil || job.Repetition.Next >= job.Occurrences() {
		return
	}
	entry := &repeatingJob{id: job.ID, spec: job.Spec.Repeat, tasks: job.Spec.TaskCount(), next: job.Repetition.Next}
	r.byID[job.ID] = entry
	r.schedule(entry, entry.nextAddTime())
}

// OccurrenceAdded updates the next occurrence of a job after the record has added others.
// It removes a job without further occurrences.
func (r *Jobs) OccurrenceAdded(job *record.Job) {
	entry, known := r.byID[job.ID]
	if !known {
		return
	}
	entry.next = job.Repetition.Next
	if entry.next >= job.Occurrences() {
		r.Remove(job.ID)
	}
}

// Remove removes a job that has ended. It has no effect on an unknown one.
func (r *Jobs) Remove(id string) {
	entry, known := r.byID[id]
	if !known {
		return
	}
	delete(r.byID, id)
	if entry.heapIndex != indexheap.None {
		heap.Remove(&r.heap, entry.heapIndex)
	}
}

// Len returns the number of jobs with occurrences left to add.
func (r *Jobs) Len() int { return len(r.byID) }

// schedule puts a job into the heap, to be expanded at a given time.
func (r *Jobs) schedule(entry *repeatingJob, at record.Millis) {
	entry.addAt = at
	heap.Push(&r.heap, entry)
}

// TakeDue returns the expansions to propose now and removes their jobs from the heap. The
// caller must pass the expansions to Proposed once they are committed; until then their
// jobs are not due again.
func (r *Jobs) TakeDue(now record.Millis) []record.Expansion {
	var due []record.Expansion
	capacity := MaxExpansionTasks
	for len(r.heap) > 0 && r.heap[0].addAt <= now && (capacity > 0 || len(due) == 0) {
		entry := heap.Pop(&r.heap).(*repeatingJob)
		through := entry.lastDue(now, capacity)
		capacity -= entry.tasks * (through - entry.next + 1)
		due = append(due, record.Expansion{Job: entry.id, Through: through})
	}
	return due
}

// Reschedule schedules the jobs of committed expansions again. A job whose expansion the
// record rejected, at least in part, is due after expandRetryMillis.
func (r *Jobs) Reschedule(expansions []record.Expansion, now record.Millis) {
	for _, expansion := range expansions {
		entry, known := r.byID[expansion.Job]
		if !known || entry.heapIndex != indexheap.None {
			continue
		}
		at := entry.nextAddTime()
		if entry.next <= expansion.Through {
			at = now + expandRetryMillis
		}
		r.schedule(entry, at)
	}
}

// lastDue returns the number of the last occurrence to add now so that the tasks stay
// within capacity; it is at least the next one.
func (j *repeatingJob) lastDue(now record.Millis, capacity int) int {
	last := j.next
	capacity -= j.tasks
	for last+1 < j.spec.Times && capacity >= j.tasks && j.addTime(last+1) <= now {
		last++
		capacity -= j.tasks
	}
	return last
}

func (j *repeatingJob) nextAddTime() record.Millis { return j.addTime(j.next) }

// addTime returns when an occurrence is to be added.
func (j *repeatingJob) addTime(occurrence int) record.Millis {
	return record.Millis(j.spec.DueMillis(occurrence)) - expandAheadMillis
}
