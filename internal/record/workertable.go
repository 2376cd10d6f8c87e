package record

import (
	"slices"
	"strings"
)

// workerTable contains the registered workers. A Worker is never changed, only
// replaced.
type workerTable struct {
	byName map[string]*Worker
	// byID maps incarnation ids to workers.
	byID map[string]*Worker
}

func newWorkerTable() workerTable {
	return workerTable{byName: make(map[string]*Worker), byID: make(map[string]*Worker)}
}

// put adds a worker, or replaces the worker of the same name. The incarnation id
// must not belong to another name.
func (t *workerTable) put(worker *Worker) {
	if replaced := t.byName[worker.Name]; replaced != nil {
		delete(t.byID, replaced.ID)
	}
	t.byName[worker.Name] = worker
	t.byID[worker.ID] = worker
}

// remove removes a worker.
func (t *workerTable) remove(worker *Worker) {
	delete(t.byName, worker.Name)
	delete(t.byID, worker.ID)
}

// sorted returns the workers in name order.
func (t *workerTable) sorted() []*Worker {
	workers := make([]*Worker, 0, len(t.byName))
	for _, worker := range t.byName {
		workers = append(workers, worker)
	}
	slices.SortFunc(workers, func(a, b *Worker) int {
		return strings.Compare(a.Name, b.Name)
	})
	return workers
}
