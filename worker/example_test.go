package worker_test

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/worker"
)

func Example() {
	w, err := worker.New(worker.Config{
		Name:     "machine-7",
		AgentURL: "http://127.0.0.1:7300",
		Capacity: api.Resources{CPUMillis: 4000, MemoryMB: 8192},
	})
	if err != nil {
		log.Fatal(err)
	}
	w.Handle("resize", func(ctx context.Context, task worker.Task) error {
		var request struct{ Images []string }
		if err := task.Decode(&request); err != nil {
			return err
		}
		for index := range request.Images {
			if err := ctx.Err(); err != nil {
				return err // the task is not done: the run is reported as stopped
			}
			if err := task.Report(100*index/len(request.Images), ""); err != nil {
				return err
			}
		}
		if !task.Held() {
			return worker.ErrHoldLapsed // the task may run on another worker
		}
		return nil
	})

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := w.Run(ctx); err != nil {
		log.Print(err) // handlers did not return after cancellation, so the process must exit
	}
}
