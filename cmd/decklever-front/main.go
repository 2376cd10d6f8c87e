// Command decklever-front serves the HTTP interface for callers and operators:
// it validates requests and forwards them to the leader.
package main

import (
	"context"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/process/frontprocess"
	"github.com/decklever/decklever/internal/settings"
)

func main() {
	daemon.Main(daemon.Command(frontprocess.Program, "HTTP interface of decklever for callers and operators", start))
}

func start(ctx context.Context, initial settings.Front, options settings.LoadOptions) error {
	process, err := frontprocess.New(initial, options)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
