package scale

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/decklever/decklever/api"
)

// stream is one kind of job that is submitted at equal intervals.
type stream struct {
	name     string
	queue    string
	priority int
	tasks    int
	gang     bool
	length   time.Duration
	devices  int64
	interval time.Duration
}

// streams splits the load of a size into its kinds.
func (s Size) streams() []stream {
	length := s.taskLength()
	gangTasks := float64(s.Gangs*s.GangSize) / float64(s.Tasks) * s.StartsPerSecond
	plainTasks := s.StartsPerSecond - gangTasks
	tasks := int(min(maxJobTasks, max(1, math.Round(plainTasks/jobsPerSecond))))
	all := []stream{
		{name: queueBulk, queue: queueBulk, tasks: tasks, length: length, interval: intervalOf(plainTasks / float64(tasks))},
		{name: queueUrgent, queue: queueUrgent, priority: urgentPriority, tasks: 1, length: urgentLength, interval: urgentInterval},
	}
	if s.Gangs > 0 {
		all = append(all, stream{
			name: queueGangs, queue: queueGangs, tasks: s.GangSize, gang: true, length: length, devices: 1,
			interval: intervalOf(gangTasks / float64(s.GangSize)),
		})
	}
	return all
}

// intervalOf returns the time between events of that rate a second.
func intervalOf(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// job draws one job of the stream.
func (s stream) job(random *rand.Rand) api.JobSpec {
	step := api.StepSpec{Name: "s", Together: s.gang}
	for range s.tasks {
		factor := 1 + lengthSpread*(2*random.Float64()-1)
		payload, err := json.Marshal(struct {
			Millis int64 `json:"millis"`
		}{int64(float64(s.length.Milliseconds()) * factor)})
		if err != nil {
			panic(fmt.Sprintf("scale: a payload has no JSON form: %v", err))
		}
		step.Tasks = append(step.Tasks, api.TaskSpec{
			Service: service, Payload: payload,
			Resources: api.Resources{CPUMillis: taskCPU, MemoryMB: taskMemory, Accelerators: s.devices},
		})
	}
	return api.JobSpec{Queue: s.queue, Priority: s.priority, Steps: []api.StepSpec{step}}
}
