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
