package scenario

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/load"
)

// jobTemplate is the template of a series of jobs that differ only in their ids. The tasks
// of a job differ only in how long they run.
type jobTemplate struct {
	// name is part of the job ids.
	name  string
	class calllog.Class
	queue string
	// tasks is the number of tasks of a job.
	tasks int
	// task is the spec of each task, without the payload.
	task api.TaskSpec
	// minTaskDuration and maxTaskDuration bound how long a task runs. The durations of a
	// job's tasks rise in equal steps from the minimum; the maximum is excluded.
	minTaskDuration, maxTaskDuration time.Duration
}

// job returns the job with that number, counted from 0.
func (t jobTemplate) job(seed uint64, number int) load.Job {
	step := api.StepSpec{Name: "only"}
	for index := range t.tasks {
		task := t.task
		task.Payload = sleepFor(t.minTaskDuration + (t.maxTaskDuration-t.minTaskDuration)*time.Duration(index)/time.Duration(t.tasks))
		step.Tasks = append(step.Tasks, task)
	}
	return load.Job{
		ID:    fmt.Sprintf("lab-%d-%s-%06d", seed, t.name, number+1),
		Class: t.class,
		Spec:  api.JobSpec{Queue: t.queue, Steps: []api.StepSpec{step}},
	}
}

// jobs returns the first count jobs.
func (t jobTemplate) jobs(seed uint64, count int) []load.Job {
	var all []load.Job
	for number := range count {
		all = append(all, t.job(seed, number))
	}
	return all
}

// sleepFor returns the payload for the reference worker's sleep handler.
func sleepFor(duration time.Duration) json.RawMessage {
	return fmt.Appendf(nil, `{"millis":%d}`, duration.Milliseconds())
}

func idsOf(jobs []load.Job) []string {
	var ids []string
	for _, job := range jobs {
		ids = append(ids, job.ID)
	}
	return ids
}

// fractionOf returns 1/parts of a worker's CPU and memory.
func fractionOf(capacity api.Resources, parts int64) api.Resources {
	return api.Resources{CPUMillis: capacity.CPUMillis / parts, MemoryMB: capacity.MemoryMB / parts}
}
