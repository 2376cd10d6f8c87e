package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

const jobSubmitHelp = `Hand in the job of a YAML or JSON file, or of standard input for "-".

The same file under the same id is the same job, so this can safely be run
again when no answer came; other content under a known id is refused. With
--wait the command ends when the job does, without a bound, and its exit code
is 5 if the job did not succeed.`

// jobSubmitCommand returns the command that submits a job.
func (a *app) jobSubmitCommand() *cobra.Command {
	var id string
	var wait bool
	command := &cobra.Command{
		Use:               "submit FILE|- --id ID",
		Short:             "Hand in a job",
		Long:              jobSubmitHelp,
		Example:           "  decklever job submit examples/jobs/swap.yaml --id swap-17\n  decklever job submit - --id billing-9 --wait < billing.yaml",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFiles,
	}
	command.Flags().StringVar(&id, "id", "", "id of the job, chosen by the caller (required)")
	command.Flags().BoolVar(&wait, "wait", false, "wait until the job has ended")
	command.RunE = a.run(func(ctx context.Context, client *api.Client, arguments []string) error {
		if err := checkJobID(id); err != nil {
			return err
		}
		var spec api.JobSpec
		if err := a.readFile(arguments[0], &spec); err != nil {
			return err
		}
		created, err := a.submit(ctx, client, id, spec)
		if err != nil {
			return err
		}
		if !wait {
			return a.printSubmitted(id, created)
		}
		return a.waitAndPrintJob(ctx, client, id, 0)
	})
	return command
}

// submit submits the job and reports whether it is new; submitting the same
// content under the same id again is not an error.
func (a *app) submit(ctx context.Context, client *api.Client, id string, spec api.JobSpec) (created bool, err error) {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	created, err = client.SubmitJob(ctx, id, spec)
	if err != nil {
		return false, requestError("submit job "+id, err)
	}
	return created, nil
}

// printSubmitted prints that a job was accepted, now or by an earlier request.
func (a *app) printSubmitted(id string, created bool) error {
	return a.print(api.SubmitAnswer{ID: id, Created: created}, func(writer io.Writer) {
		word := "accepted"
		if !created {
			word = "had been accepted before"
		}
		_, _ = fmt.Fprintf(writer, "job %s %s\n", id, word)
	})
}
