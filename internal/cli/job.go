package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const (
	// waitSlice is how long one call of a longer wait is held.
	waitSlice = 10 * time.Second
	// waitPause stands between two calls of a wait.
	waitPause = 50 * time.Millisecond
)

// jobCommand holds the commands about jobs.
func (a *app) jobCommand() *cobra.Command {
	return groupCommand("job", "Hand in jobs and follow them",
		"  decklever job submit swap.yaml --id swap-17\n  decklever job list --state running",
		a.jobSubmitCommand(), a.jobStatusCommand(), a.jobListCommand(), a.jobCancelCommand(), a.jobWaitCommand())
}

// checkJobID checks the form of an id before anything is sent.
func checkJobID(id string) error {
	if id == "" {
		return usageError("the id of a job is missing; for submit it is given with --id")
	}
	if !api.ValidJobID(id) {
		return usageError("job id %q, expected 1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-', the first a letter or digit", id)
	}
	return nil
}

// waitForJob reads the job until it is final or, with a timeout above 0, that
// time is over.
func (a *app) waitForJob(ctx context.Context, client *api.Client, id string, timeout time.Duration) (api.JobStatus, error) {
	end := time.Now().Add(timeout)
	for {
		slice := waitSlice
		if timeout > 0 {
			slice = max(0, min(slice, time.Until(end)))
		}
		status, err := a.heldRead(ctx, client, id, slice)
		if err != nil {
			return status, callFailed("wait for job "+id, err)
		}
		if status.State.Final() {
			return status, nil
		}
		if timeout > 0 && time.Until(end) <= 0 {
			return status, notEnded(id, status.State)
		}
		// A front in trouble answers early.
		a.sleep(ctx, waitPause)
	}
}

// heldRead reads a job once, held until the job is final or the wait is over.
func (a *app) heldRead(ctx context.Context, client *api.Client, id string, wait time.Duration) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+a.flags.timeout)
	defer cancel()
	return client.Job(ctx, id, wait)
}

// notEnded is the failure of a wait that was over before the job was.
func notEnded(id string, state api.State) error {
	return &failure{code: ExitUnavailable, text: fmt.Sprintf("job %s has not ended; it is %s", id, state)}
}

// printJob writes the state of a job with its occurrences, if it repeats, and
// its tasks.
func (a *app) printJob(status api.JobStatus) error {
	return a.print(status, func(writer io.Writer) {
		job := newGrid("id", "queue", "priority", "state", "submitted", "ended")
		job.add(status.ID, status.Queue, status.Priority, status.State, a.clock(status.SubmittedAt), a.clockOf(status.EndedAt))
		job.render(writer)
		if status.Occurrences != nil {
			_, _ = fmt.Fprintln(writer)
			a.occurrenceGrid(status.Occurrences).render(writer)
		}
		if len(status.Steps) > 0 {
			_, _ = fmt.Fprintln(writer)
			taskGrid(status).render(writer)
		}
	})
}
