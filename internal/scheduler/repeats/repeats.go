// Package repeats keeps the live jobs that have occurrences still to be added to the
// record, and says which to add when. It owns no clock, no lock and no goroutine: its
// caller tells the cluster time and guards it.
package repeats

import (
	"container/heap"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/indexheap"
	"github.com/decklever/decklever/internal/record"
)

const (
	// expandAheadMillis is how long before it falls due an occurrence is added
	// to the record, so that its tasks can be placed right when it does.
	expandAheadMillis = 300
	// expandRetryMillis is the pause before an occurrence is added that the
	// record did not take, since the job has too many open tasks.
	expandRetryMillis = 500
	// MaxExpansionTasks bounds the tasks that one command adds, beyond those of
	// its first occurrence, and so the time for which the record is held.
	MaxExpansionTasks = 4096
)

// repeatingJob is a live job with occurrences that are still to be added.
type repeatingJob struct {
	id   string
	spec *api.RepeatSpec
	// tasks is the number of tasks of one occurrence.
	tasks int
	// next is the number of the occurrence to be added next.
	next int
	// addAt is when it is to be added, on the cluster clock.
	addAt record.Millis
	// heapIndex is the job's place in the heap; indexheap.None while it has none
	// because an expansion of it is being committed.
	heapIndex int
}

// Before implements indexheap.Item: the earliest first.
func (j *repeatingJob) Before(other *repeatingJob) bool { return j.addAt < other.addAt }

// SetPosition implements indexheap.Item.
func (j *repeatingJob) SetPosition(position int) { j.heapIndex = position }

// Jobs are the repeating jobs, first the one to be expanded next.
type Jobs struct {
	byID map[string]*repeatingJob
	heap indexheap.Heap[*repeatingJob]
}

// New returns no repeating jobs.
func New() Jobs { return Jobs{byID: make(map[string]*repeatingJob)} }

// Add takes in a job that may have occurrences to come.
func (r *Jobs) Add(job *record.Job) {
	if job.Repetition == nil || job.Repetition.Next >= job.Occurrences() {
		return
	}
	entry := &repeatingJob{id: job.ID, spec: job.Spec.Repeat, tasks: job.Spec.TaskCount(), next: job.Repetition.Next}
	r.byID[job.ID] = entry
	r.arm(entry, entry.nextAddTime())
}

// Added records that the record holds a job's occurrences before its next one.
func (r *Jobs) Added(job *record.Job) {
	entry, known := r.byID[job.ID]
	if !known {
		return
	}
	entry.next = job.Repetition.Next
	if entry.next >= job.Occurrences() {
		r.Remove(job.ID)
	}
}

// Remove takes out a job that has ended. Unknown: no effect.
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

// Len is the number of jobs with occurrences to come.
func (r *Jobs) Len() int { return len(r.byID) }

func (r *Jobs) arm(entry *repeatingJob, at record.Millis) {
	entry.addAt = at
	heap.Push(&r.heap, entry)
}

// TakeDue returns what is to be added now. The jobs in it come up again after Proposed
// was called with it.
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

// Proposed arms the jobs again of an expansion that was committed.
func (r *Jobs) Proposed(expansions []record.Expansion, now record.Millis) {
	for _, expansion := range expansions {
		entry, known := r.byID[expansion.Job]
		if !known || entry.heapIndex != indexheap.None {
			continue
		}
		at := entry.nextAddTime()
		if entry.next <= expansion.Through {
			at = now + expandRetryMillis
		}
		r.arm(entry, at)
	}
}

// lastDue is the last occurrence to be added now, within the capacity for tasks;
// the next one in any case.
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

// addTime is when an occurrence is to be added.
func (j *repeatingJob) addTime(occurrence int) record.Millis {
	return record.Millis(j.spec.DueMillis(occurrence)) - expandAheadMillis
}
