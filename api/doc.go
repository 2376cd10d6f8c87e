// Package api is the public Go interface of decklever: the JSON types of its
// HTTP interface, their validation, and a client. The command-line tool uses this
// package like any other caller. The HTTP interface itself is described in
// openapi.yaml.
//
// # For callers
//
// A caller submits a job (JobSpec) under an id of its own choice and reads its
// state (JobStatus) until that is final:
//
//	client, err := api.NewClient(api.ClientConfig{Endpoints: []string{"http://127.1.0.1:7200"}})
//	created, err := client.SubmitJob(ctx, "report-17", api.JobSpec{
//		Queue: "default",
//		Steps: []api.StepSpec{{Name: "render", Tasks: []api.TaskSpec{{
//			Service:   "render",
//			Resources: api.Resources{CPUMillis: 500},
//		}}}},
//	})
//	status, err := client.Job(ctx, "report-17", 30*time.Second)
//
// Every call is idempotent, so Client retries a call whose answer was lost. Errors
// are of type *Error; errors.Is compares them by code:
//
//	if errors.Is(err, &api.Error{Code: api.CodeConflict}) { ... }
//
// # For operators
//
// Operators replace the complete Config with Client.PutConfig, a compare-and-swap
// on the version in force. Of several proposals to replace the same version,
// exactly one is accepted; the others fail with CodeLostRace. Zone drains
// (Client.DrainZone) are independent of the configuration.
//
// # For workers
//
// Package worker implements the worker's side of the heartbeat protocol.
// Heartbeat and HeartbeatAnswer are documented here for authors of workers in
// other languages.
//
// # Terms
//
// A job consists of steps, a step of tasks. A run is one attempt at a task on
// one worker; a task has at most one open run. A step whose tasks are placed
// all at once or not at all is a group (a gang). A worker runs its tasks under
// a lease, called hold in JSON, which each accepted heartbeat answer renews. A booking
// reserves slices of worker capacity for a queue in recurring windows.
//
// # Units and conventions
//
// Durations are text such as "1.5s" (see Duration), fields that end in Millis
// are milliseconds, memory is in mebibytes, processor share in thousandths of a
// core, times are RFC 3339. In a configuration and a job, an absent or zero field
// means the default that the field's comment gives. Validation reports every
// invalid field at once, each as a FieldError with the field's path.
package api
