package scenario

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/load"
)

// jobTemplate is a set of jobs that differ only in their ids and in how long their
// tasks run.
type jobTemplate struct {
	// name is a part of the ids.
	name  string
	class calllog.Class
	queue string
	// tasks is the number of tasks of a job.
	tasks int
	// task is each task, but for its payload.
	task api.TaskSpec
	// shortest and longest bound how long a task runs; the tasks of a job lie
	// evenly between them.
	shortest, longest time.Duration
}

// job returns the job of that number.
func (k jobTemplate) job(seed uint64, number int) load.Job {
	step := api.StepSpec{Name: "only"}
	for index := range k.tasks {
		task := k.task
		task.Payload = sleepFor(k.shortest + (k.longest-k.shortest)*time.Duration(index)/time.Duration(k.tasks))
		step.Tasks = append(step.Tasks, task)
	}
	return load.Job{
		ID:    fmt.Sprintf("lab-%d-%s-%06d", seed, k.name, number+1),
		Class: k.class,
		Spec:  api.JobSpec{Queue: k.queue, Steps: []api.StepSpec{step}},
	}
}

// jobs returns the first jobs of a kind.
func (k jobTemplate) jobs(seed uint64, count int) []load.Job {
	var all []load.Job
	for number := range count {
		all = append(all, k.job(seed, number))
	}
	return all
}

// sleepFor is the payload of the reference worker's sleep handler.
func sleepFor(length time.Duration) json.RawMessage {
	return fmt.Appendf(nil, `{"millis":%d}`, length.Milliseconds())
}

func idsOf(jobs []load.Job) []string {
	var ids []string
	for _, job := range jobs {
		ids = append(ids, job.ID)
	}
	return ids
}

// fractionOf returns an equal part of a worker's capacity.
func fractionOf(capacity api.Resources, parts int64) api.Resources {
	return api.Resources{CPUMillis: capacity.CPUMillis / parts, MemoryMB: capacity.MemoryMB / parts}
}
