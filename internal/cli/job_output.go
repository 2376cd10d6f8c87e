package cli

import (
	"fmt"
	"io"

	"github.com/decklever/decklever/api"
)

// occurrenceTable builds the table that counts a repeating job's occurrences.
func (a *app) occurrenceTable(counts *api.OccurrenceStatus) *textTable {
	occurrences := newTextTable("occurrences", "open", "succeeded", "failed", "cancelled", "next due")
	occurrences.add(counts.Times, counts.Open, counts.Succeeded, counts.Failed, counts.Cancelled, a.formatOptionalTime(counts.NextDue))
	return occurrences
}

// taskTable builds the table of a job's tasks.
func taskTable(status api.JobStatus) *textTable {
	tasks := newTextTable("task", "state", "run", "failures", "worker", "reason")
	for _, step := range status.Steps {
		for _, task := range step.Tasks {
			tasks.add(task.Task, task.State, task.Run, task.Failures, task.Worker, task.Reason)
		}
	}
	return tasks
}

// printJob prints a job and its tasks, and the occurrence counts of a repeating
// job.
func (a *app) printJob(status api.JobStatus) error {
	return a.print(status, func(writer io.Writer) {
		job := newTextTable("id", "queue", "priority", "state", "submitted", "ended")
		job.add(status.ID, status.Queue, status.Priority, status.State, a.formatTime(status.SubmittedAt), a.formatOptionalTime(status.EndedAt))
		job.render(writer)
		if status.Occurrences != nil {
			_, _ = fmt.Fprintln(writer)
			a.occurrenceTable(status.Occurrences).render(writer)
		}
		if len(status.Steps) > 0 {
			_, _ = fmt.Fprintln(writer)
			taskTable(status).render(writer)
		}
	})
}
