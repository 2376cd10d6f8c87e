// Package worker runs tasks that decklever gives to a process: a user
// registers one handler for each service and calls Run.
//
//	w, err := worker.New(worker.Config{Name: "machine-7", AgentURL: "http://127.0.0.1:7300", Capacity: room})
//	w.Handle("resize", func(ctx context.Context, task worker.Task) error { ... })
//	err = w.Run(ctx)
//
// The worker sends heartbeats to the agent of its machine, one at a time. Each
// accepted answer grants a hold, counted from when that heartbeat was sent. If
// the hold lapses, the tasks may be started elsewhere, so the worker cancels
// the context of every handler by itself. A handler must return soon after
// its context ends, must return an error if it has not finished, and should
// check Task.Held right before an effect that cannot be undone. An error
// returned because of a cancelled context is reported as stopped and is not
// counted as a failure; nil always means that the task is done.
//
// A handler says how far it is with Task.Report. The runs of a task whose
// description says Resumable also leave checkpoints: a later run finds the
// newest in Task.Checkpoint and goes on from there.
//
// The rules of the protocol are in docs/DESIGN.md, "Holds, tokens and the
// life of a run"; session is their pure form.
package worker
