package scale

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/api"
)

// stream is a kind of job that is submitted at a constant interval.
type stream struct {
	name         string
	queue        string
	priority     int
	tasks        int
	gang         bool
	taskDuration time.Duration
	devices      int64
	interval     time.Duration
}

// streams divides the load of a size into plain jobs, urgent jobs and gangs. The urgent
// jobs come on top of StartsPerSecond.
func (s Size) streams() []stream {
	duration := s.taskDuration()
	gangTasks := float64(s.Gangs*s.GangSize) / float64(s.Tasks) * s.StartsPerSecond
	plainTasks := s.StartsPerSecond - gangTasks
	tasks := int(min(maxJobTasks, max(1, math.Round(plainTasks/jobsPerSecond))))
	all := []stream{
		{name: queueBulk, queue: queueBulk, tasks: tasks, taskDuration: duration, interval: intervalOf(plainTasks / float64(tasks))},
		{name: queueUrgent, queue: queueUrgent, priority: urgentPriority, tasks: 1, taskDuration: urgentTaskDuration, interval: urgentInterval},
	}
	if s.Gangs > 0 {
		all = append(all, stream{
			name: queueGangs, queue: queueGangs, tasks: s.GangSize, gang: true, taskDuration: duration, devices: 1,
			interval: intervalOf(gangTasks / float64(s.GangSize)),
		})
	}
	return all
}

// intervalOf returns the time between events at a rate per second.
func intervalOf(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// job returns a new job of the stream with a random run time for each task.
func (s stream) job(random *rand.Rand) api.JobSpec {
	step := api.StepSpec{Name: "s", Together: s.gang}
	for range s.tasks {
		factor := 1 + durationSpread*(2*random.Float64()-1)
		payload, err := json.Marshal(struct {
			Millis int64 `json:"millis"`
		}{int64(float64(s.taskDuration.Milliseconds()) * factor)})
		if err != nil {
			panic(fmt.Sprintf("scale: a payload has no JSON form: %v", err))
		}
		step.Tasks = append(step.Tasks, api.TaskSpec{
			Service: service, Payload: payload,
			Resources: api.Resources{CPUMillis: taskCPUMillis, MemoryMB: taskMemoryMB, Accelerators: s.devices},
		})
	}
	return api.JobSpec{Queue: s.queue, Priority: s.priority, Steps: []api.StepSpec{step}}
}
