package scheduler

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
	// expansionTasks bounds the tasks that one command adds, beyond those of
	// its first occurrence, and so the time for which the record is held.
	expansionTasks = 4096
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

// repeats are the repeating jobs, first the one to be expanded next.
type repeats struct {
	byID map[string]*repeatingJob
	heap indexheap.Heap[*repeatingJob]
}

func newRepeats() repeats { return repeats{byID: make(map[string]*repeatingJob)} }

// add takes a job in that has occurrences to come.
func (r *repeats) add(job *record.Job) {
	if job.Repetition == nil || job.Repetition.Next >= job.Occurrences() {
		return
	}
	entry := &repeatingJob{id: job.ID, spec: job.Spec.Repeat, tasks: job.Spec.TaskCount(), next: job.Repetition.Next}
	r.byID[job.ID] = entry
	r.arm(entry, entry.nextAddTime())
}

// added notes that the record holds a job's occurrences before next.
func (r *repeats) added(job *record.Job) {
	entry, known := r.byID[job.ID]
	if !known {
		return
	}
	entry.next = job.Repetition.Next
	if entry.next >= job.Occurrences() {
		r.remove(job.ID)
	}
}

func (r *repeats) remove(id string) {
	entry, known := r.byID[id]
	if !known {
		return
	}
	delete(r.byID, id)
	if entry.heapIndex != indexheap.None {
		heap.Remove(&r.heap, entry.heapIndex)
	}
}

func (r *repeats) arm(entry *repeatingJob, at record.Millis) {
	entry.addAt = at
	heap.Push(&r.heap, entry)
}

// takeDue returns what is to be added now. The jobs in it are looked at again
// after proposed was called with it.
func (r *repeats) takeDue(now record.Millis) []record.Expansion {
	var due []record.Expansion
	capacity := expansionTasks
	for len(r.heap) > 0 && r.heap[0].addAt <= now && (capacity > 0 || len(due) == 0) {
		entry := heap.Pop(&r.heap).(*repeatingJob)
		through := entry.lastDue(now, capacity)
		capacity -= entry.tasks * (through - entry.next + 1)
		due = append(due, record.Expansion{Job: entry.id, Through: through})
	}
	return due
}

// proposed arms the jobs again of an expansion that was committed.
func (r *repeats) proposed(expansions []record.Expansion, now record.Millis) {
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

// lastDue is the last occurrence to be added now, within the room for tasks;
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

// proposeExpansions commits what enqueueExpansions has queued.
func (l *leader) proposeExpansions(expansions []record.Expansion) {
	if len(expansions) == 0 {
		return
	}
	command := record.Command{ExpandRepeats: &record.ExpandRepeats{Jobs: expansions}}
	if _, done := l.proposeUntilDone("expand", command); !done {
		return
	}
	now := l.log.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats.proposed(expansions, now)
}
