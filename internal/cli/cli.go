package cli

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
)

// Config holds the input, output and environment of one execution of the
// command.
type Config struct {
	// In is read in place of a file named "-". Default: empty input.
	In io.Reader
	// Out receives results; Err receives errors and notices. Default:
	// discarded.
	Out, Err io.Writer
	// Getenv returns the value of an environment variable. Default: every
	// variable is empty.
	Getenv func(name string) string
	// Location is the time zone of times in tables. Default: time.Local.
	Location *time.Location
	// HTTPClient sends the requests. Default: a client that api.NewClient
	// creates.
	HTTPClient *http.Client

	// now returns the current time; set by tests.
	now func() time.Time
	// sleep waits and reports whether the context is still active afterwards;
	// completionTimeout bounds the request that a shell completion sends.
	// Both are set by tests.
	sleep             func(ctx context.Context, length time.Duration) bool
	completionTimeout time.Duration
}

// Run executes the command with the given arguments, which do not include the
// program name, and returns its exit code. Errors are written to Config.Err.
// Cancelling the context interrupts the command.
func Run(ctx context.Context, arguments []string, config Config) int {
	a := newApp(config)
	root := a.rootCommand()
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	reportError(a.Err, err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	if !a.started {
		return ExitUsage
	}
	return ExitFailed
}

// app is the state of one execution of the command; all commands are methods
// of app. It is used by one goroutine, except that some commands send several
// requests concurrently.
type app struct {
	Config
	flags globalFlags
	// started is set once cobra has accepted the flags and arguments. Run
	// treats any error before that as a usage error.
	started bool
}

// globalFlags holds the values of the flags that every command accepts.
type globalFlags struct {
	fronts  []string
	timeout time.Duration
	output  string
}

// newApp returns an app for the Config, with defaults for fields that are not
// set.
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
