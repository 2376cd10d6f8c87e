// Command decklever-front serves callers and operators: it checks requests and
// relays them to the leading scheduler.
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
	made, err := frontprocess.New(initial, options)
	if err != nil {
		return err
	}
	return made.Run(ctx)
}
