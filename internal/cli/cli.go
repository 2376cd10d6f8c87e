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

// Config holds the command's input, output and environment.
type Config struct {
	// In is read for a file named "-". Default: empty.
	In io.Reader
	// Out takes results; Err takes errors and notices. Default: discarded.
	Out, Err io.Writer
	// Getenv reads the environment. Default: empty.
	Getenv func(name string) string
	// Location is the time zone of tables. Default: the local one.
	Location *time.Location
	// HTTPClient sends the requests. Default: the one of api.Client.
	HTTPClient *http.Client

	// now returns the current time; set by tests.
	now func() time.Time
	// sleep waits and reports whether the context is still active afterwards;
	// completionTimeout bounds the request of a shell completion. Both are
	// set by tests.
	sleep             func(ctx context.Context, length time.Duration) bool
	completionTimeout time.Duration
}

// Run executes the command with the arguments after the program's name and
// returns its exit code. Cancelling the context interrupts it.
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

// app is the state of one execution of the command. Commands are its methods;
// it is used by one goroutine, except for requests that a command sends
// concurrently.
type app struct {
	Config
	flags globalFlags
	// started is set once flags and arguments were accepted. An error before
	// that is a usage error.
	started bool
}

// globalFlags are the flags that every command has.
type globalFlags struct {
	fronts  []string
	timeout time.Duration
	output  string
}

// newApp fills in the defaults of a Config.
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
