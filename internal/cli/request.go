package cli

import (
	"context"
	"errors"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
)

// action is the body of a command that sends requests.
type action func(ctx context.Context, client *api.Client, arguments []string) error

// run adapts an action to cobra's RunE: it checks the global flags, creates a
// client for the action and closes it afterwards.
func (a *app) run(execute action) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, arguments []string) error {
		a.started = true
		if err := a.checkGlobalFlags(); err != nil {
			return err
		}
		client, err := a.client()
		if err != nil {
			return err
		}
		defer client.Close()
		return execute(command.Context(), client, arguments)
	}
}

// checkGlobalFlags validates --timeout and --output.
func (a *app) checkGlobalFlags() error {
	if a.flags.timeout <= 0 {
		return usageError("--timeout is %v, expected a duration above 0", a.flags.timeout)
	}
	return checkOutputFormat(a.flags.output)
}

// client returns a client for the fronts named by --front. The caller closes it.
func (a *app) client() (*api.Client, error) {
	client, err := api.NewClient(api.ClientConfig{Endpoints: a.flags.fronts, HTTPClient: a.HTTPClient})
	if err != nil {
		return nil, usageError("--front: %v", err)
	}
	return client, nil
}

// requestContext returns a context that bounds one request, including all
// retries, by --timeout.
func (a *app) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.flags.timeout)
}

// doRequest sends one request, bounded by --timeout, and returns a
// requestError if it fails.
func doRequest[Answer any](ctx context.Context, a *app, action string, call func(context.Context) (Answer, error)) (Answer, error) {
	ctx, cancel := a.requestContext(ctx)
	defer cancel()
	answer, err := call(ctx)
	if err != nil {
		return answer, requestError(action, err)
	}
	return answer, nil
}

// hasErrorCode reports whether the error is an API error with this code.
func hasErrorCode(err error, code api.ErrorCode) bool {
	return errors.Is(err, &api.Error{Code: code})
}
