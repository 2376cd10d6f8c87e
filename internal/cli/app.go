package cli

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
)

// Config is what the command reads, writes and uses.
type Config struct {
	// In is read for a file named "-". Default: empty.
	In io.Reader
	// Out takes results, Err takes errors and notes. Default: dropped.
	Out, Err io.Writer
	// Getenv reads the environment. Default: empty.
	Getenv func(name string) string
	// Location is the time zone of tables. Default: the local one.
	Location *time.Location
	// HTTPClient carries the calls. Default: the client's own.
	HTTPClient *http.Client

	// now is the time; tests set it.
	now func() time.Time
	// sleep waits and reports whether the context still goes on afterwards;
	// completionTimeout bounds the call behind a completion. Tests set them.
	sleep             func(ctx context.Context, length time.Duration) bool
	completionTimeout time.Duration
}

// Run runs the command with the arguments behind the program's name and
// returns its exit code. The end of the context interrupts it.
func Run(ctx context.Context, arguments []string, config Config) int {
	a := newApp(config)
	root := a.rootCommand()
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	report(a.Err, err)
	var failed *failure
	if errors.As(err, &failed) {
		return failed.code
	}
	if !a.started {
		return ExitUsage
	}
	return ExitFailed
}

// app is one run of the command.
type app struct {
	Config
	flags globalFlags
	// started: flags and arguments were right and the command began its work.
	started bool
}

// globalFlags are the flags of every command.
type globalFlags struct {
	fronts  []string
	timeout time.Duration
	output  string
}

func newApp(config Config) *app {
	if config.In == nil {
		config.In = strings.NewReader("")
	}
	if config.Out == nil {
		config.Out = io.Discard
	}
	if config.Err == nil {
		config.Err = io.Discard
	}
	if config.Getenv == nil {
		config.Getenv = func(string) string { return "" }
	}
	if config.Location == nil {
		config.Location = time.Local
	}
	if config.now == nil {
		config.now = time.Now
	}
	if config.sleep == nil {
		config.sleep = contexttime.Sleep
	}
	if config.completionTimeout == 0 {
		config.completionTimeout = defaultCompletionTimeout
	}
	return &app{Config: config}
}

// action is the work of one command, with the client to do it with.
type action func(ctx context.Context, client *api.Client, arguments []string) error

// run makes the RunE of a command that calls the fleet.
func (a *app) run(work action) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, arguments []string) error {
		a.started = true
		if err := a.checkGlobal(); err != nil {
			return err
		}
		client, err := a.client()
		if err != nil {
			return err
		}
		defer client.Close()
		return work(command.Context(), client, arguments)
	}
}

// checkGlobal checks the flags of every command.
func (a *app) checkGlobal() error {
	if a.flags.timeout <= 0 {
		return usageError("--timeout is %v, expected a duration above 0", a.flags.timeout)
	}
	return checkOutput(a.flags.output)
}

// client makes the client of the fronts that the flags name.
func (a *app) client() (*api.Client, error) {
	client, err := api.NewClient(api.ClientConfig{Endpoints: a.flags.fronts, HTTPClient: a.HTTPClient})
	if err != nil {
		return nil, usageError("--front: %v", err)
	}
	return client, nil
}

// call bounds one call to the fleet, with all its tries, by --timeout.
func (a *app) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.flags.timeout)
}

// read makes one call that has no arguments.
func read[Answer any](ctx context.Context, a *app, action string, call func(context.Context) (Answer, error)) (Answer, error) {
	ctx, cancel := a.call(ctx)
	defer cancel()
	answer, err := call(ctx)
	if err != nil {
		return answer, callFailed(action, err)
	}
	return answer, nil
}

// note writes a line for people beside the result.
func (a *app) note(text string) { printLine(a.Err, text) }
