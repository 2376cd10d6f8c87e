package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// answerLossProbability is the probability that a read on a caller's connection fails.
	answerLossProbability = 0.02
	// queueName is the queue that every configuration contains.
	queueName = "q"
)

// caller makes random calls one after another and records them in history.
type caller struct {
	t       *testing.T
	number  int
	random  *rand.Rand
	client  *rpc.Client
	nodes   []*node
	target  string
	history *history
	counts  *counter
	serial  int
}

// run makes random calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch c.random.IntN(8) {
		case 0, 1:
			c.readConfig()
		case 2:
			c.changeConfig()
		case 3:
			c.resendOrder()
		case 4, 5:
			c.submit()
		case 6:
			c.cancel()
		default:
			c.readJob()
		}
		time.Sleep(time.Duration(c.random.IntN(12)) * time.Millisecond)
	}
}

func (c *caller) readConfig() (configOutput, bool) {
	began := c.history.now()
	answer, end := call[protocol.Empty, protocol.ConfigAnswer](c, protocol.MethodGetConfig, protocol.Empty{})
	if end.outcome != outcomeAnswered {
		return configOutput{}, false // an unanswered read adds nothing to the history
	}
	c.reportUnexpectedRejection("read the configuration", end.rejection)
	output := configOutput{result: configRead, version: answer.Status.Version, tag: tagOf(answer.Status.Config)}
	c.history.addConfig(c.number, configInput{}, output, began)
	c.counts.add("configuration read")
	return output, true
}

// taggedConfig returns a configuration that is identified by the tag.
func taggedConfig(tag string) api.Config {
	return api.Config{Queues: []api.QueueConfig{{Name: queueName}, {Name: tag}}}
}

// tagOf returns the tag of a taggedConfig; "" if the configuration has none.
func tagOf(config api.Config) string {
	if len(config.Queues) < 2 {
		return ""
	}
	return config.Queues[1].Name
}

// changeConfig reads the configuration and puts another one based on it.
func (c *caller) changeConfig() {
	read, ok := c.readConfig()
	if !ok {
		return
	}
	c.serial++
	name := fmt.Sprintf("order-%d-%d", c.number, c.serial)
	c.putConfig(configInput{put: true, order: name, base: read.version, tag: name, resent: c.random.IntN(4) == 0})
}

// resendOrder repeats an earlier PutConfigRequest with its OrderID, sometimes with other
// content.
func (c *caller) resendOrder() {
	input, ok := c.history.earlierOrder(c.random)
	if !ok {
		return
	}
	if c.random.IntN(4) == 0 {
		input.tag = "other-content"
	}
	c.putConfig(input)
}

func (c *caller) putConfig(input configInput) {
	request := protocol.PutConfigRequest{OrderID: input.order, Base: input.base, Config: taggedConfig(input.tag)}
	began := c.history.now()
	answer, end := call[protocol.PutConfigRequest, protocol.PutConfigAnswer](c, protocol.MethodPutConfig, request)
	if end.outcome == outcomeNoEffect {
		return
	}
	result := resultOf(c, "put a configuration", end, configUnknown, configAccepted, map[api.ErrorCode]configResult{
		api.CodeLostRace: configLost,
		api.CodeConflict: configConflict,
	})
	output := configOutput{result: result}
	switch result {
	case configAccepted:
		output.version = answer.Version
		c.counts.add("configuration accepted")
	case configLost:
		c.counts.add("configuration lost")
	}
	c.history.addConfig(c.number, input, output, began)
}

// recentJobID returns the ID of one of the three newest jobs. A new ID is used every
// jobPeriod.
func (c *caller) recentJobID() string {
	const jobPeriod = 250 * time.Millisecond
	newest := int(time.Since(c.history.started) / jobPeriod)
	return fmt.Sprintf("job-%d", max(0, newest-c.random.IntN(3)))
}

// taggedJob returns a job that is identified by the tag, the name of its step.
func taggedJob(tag string) api.JobSpec {
	task := api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1}}
	return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{{Name: tag, Tasks: []api.TaskSpec{task}}}}
}

func (c *caller) submit() {
	input := jobInput{call: jobSubmit, job: c.recentJobID(), tag: "first"}
	if c.random.IntN(4) == 0 {
		input.tag = "second"
	}
	request := protocol.SubmitRequest{ID: input.job, Spec: taggedJob(input.tag)}
	began := c.history.now()
	answer, end := call[protocol.SubmitRequest, protocol.SubmitAnswer](c, protocol.MethodSubmit, request)
	if end.outcome == outcomeNoEffect {
		return
	}
	accepted := submitResult(answer.Created, end.attempts)
	result := resultOf(c, "submit", end, jobUnknown, accepted, map[api.ErrorCode]jobResult{api.CodeConflict: jobConflict})
	if result == accepted {
		c.counts.add("submitted")
	}
	c.history.addJob(c.number, input, jobOutput{result: result}, began)
}

// submitResult returns jobExists only if no earlier attempt of the same call can have created
// the job.
func submitResult(created bool, attempts int) jobResult {
	switch {
	case created:
		return jobCreated
	case attempts > 1:
		return jobCreatedOrExists
	default:
		return jobExists
	}
}

func (c *caller) cancel() {
	input := jobInput{call: jobCancel, job: c.recentJobID()}
	began := c.history.now()
	answer, end := call[protocol.CancelRequest, protocol.JobAnswer](c, protocol.MethodCancel, protocol.CancelRequest{ID: input.job})
	c.recordStatus(input, answer, end, began)
}

func (c *caller) readJob() {
	input := jobInput{call: jobRead, job: c.recentJobID()}
	began := c.history.now()
	answer, end := call[protocol.GetJobRequest, protocol.JobAnswer](c, protocol.MethodGetJob, protocol.GetJobRequest{ID: input.job})
	if end.outcome == outcomeAnswered { // an unanswered read adds nothing to the history
		c.recordStatus(input, answer, end, began)
	}
}

// recordStatus adds a call whose answer contains the job's status to the history.
func (c *caller) recordStatus(input jobInput, answer protocol.JobAnswer, end callResult, began int64) {
	if end.outcome == outcomeNoEffect {
		return
	}
	result := resultOf(c, "cancel or read a job", end, jobUnknown, jobStatus, map[api.ErrorCode]jobResult{api.CodeNotFound: jobNotFound})
	output := jobOutput{result: result}
	if result == jobStatus {
		output = c.statusOutput(answer.Status)
		c.counts.add("job answered")
	}
	c.history.addJob(c.number, input, output, began)
}

func (c *caller) statusOutput(status api.JobStatus) jobOutput {
	output := jobOutput{result: jobStatus, cancelled: status.State == api.StateCancelled}
	if len(status.Steps) != 1 || (status.State != api.StatePending && !output.cancelled) {
		c.t.Errorf("caller %d: got job in state %q with %d steps, want one step, pending or cancelled, as there is no worker", c.number, status.State, len(status.Steps))
		return output
	}
	output.tag = status.Steps[0].Name
	return output
}
