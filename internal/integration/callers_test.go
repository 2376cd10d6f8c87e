package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/fleet"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	tryTimeout  = 400 * time.Millisecond
	callTimeout = 1500 * time.Millisecond
	// answerLoss is the chance that what a caller reads is lost.
	answerLoss = 0.02
	// resendChance is how often a caller repeats a call of unknown outcome
	// rather than leave it open.
	resendChance = 0.9
	// queueName is in every configuration.
	queueName = "q"
)

// history collects the calls of all callers.
type history struct {
	started time.Time
	mutex   sync.Mutex
	config  []porcupine.Operation
	jobs    []porcupine.Operation
	// orders were given with resent set and may be given again.
	orders []configInput
}

func (h *history) now() int64 { return time.Since(h.started).Nanoseconds() }

// operation is a call that ends now, or, left open, at any time or never.
func (h *history) operation(caller int, input, output any, call int64, open bool) porcupine.Operation {
	operation := porcupine.Operation{ClientId: caller, Input: input, Output: output, Call: call, Return: h.now()}
	if open {
		operation.Return = pendingForever
	}
	return operation
}

func (h *history) addConfig(caller int, input configInput, output configOutput, call int64) {
	operation := h.operation(caller, input, output, call, output.result == configUnknown)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.config = append(h.config, operation)
	if input.resent {
		h.orders = append(h.orders, input)
	}
}

func (h *history) addJob(caller int, input jobInput, output jobOutput, call int64) {
	operation := h.operation(caller, input, output, call, output.result == jobUnknown)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.jobs = append(h.jobs, operation)
}

// earlierOrder returns an order that was given before, if there is one.
func (h *history) earlierOrder(random *rand.Rand) (configInput, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.orders) == 0 {
		return configInput{}, false
	}
	newest := h.orders[max(0, len(h.orders)-5):]
	return newest[random.IntN(len(newest))], true
}

// caller makes calls one after another, and is at work until its context ends.
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

// run makes calls by chance until ctx ends.
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

// ended tells how a call ended: with an answer, without effect, or unknown.
type ended uint8

const (
	endedAnswered ended = iota
	endedWithoutEffect
	endedUnknown
)

// callEnd is how a call ended. refusal comes with an answer that refuses; tries
// is how many of the tries may have had an effect.
type callEnd struct {
	how     ended
	refusal *api.Error
	tries   int
}

// call tries nodes until one answers.
func call[Request, Answer any](c *caller, method fleet.Method, request Request) (answer Answer, end callEnd) {
	unknown := 0
	for deadline := time.Now().Add(callTimeout); time.Now().Before(deadline); {
		failure := c.tryOnce(func(ctx context.Context, address string) (err error) {
			answer, err = rpc.Call[Request, Answer](ctx, c.client, address, method, request)
			return err
		})
		if failure == nil || failure.Code == rpc.CodeRefused {
			return answer, callEnd{how: endedAnswered, refusal: refusalIn(failure), tries: unknown + 1}
		}
		if failure.Code == rpc.CodeBadRequest {
			c.t.Errorf("caller %d: %v", c.number, failure)
		}
		c.target = failure.LeaderAddress
		if mayHaveEffect(failure) {
			unknown++
			c.counts.add("unknown tries")
			if c.random.Float64() > resendChance {
				break
			}
		}
		time.Sleep(time.Duration(1+c.random.IntN(20)) * time.Millisecond)
	}
	if unknown > 0 {
		c.counts.add("left open")
		return answer, callEnd{how: endedUnknown, tries: unknown}
	}
	return answer, callEnd{how: endedWithoutEffect}
}

// tryOnce makes one call to one node.
func (c *caller) tryOnce(attempt func(ctx context.Context, address string) error) *rpc.Error {
	if c.target == "" {
		c.target = c.nodes[c.random.IntN(len(c.nodes))].address
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	err := attempt(ctx, c.target)
	if err == nil {
		return nil
	}
	var failure *rpc.Error
	if !errors.As(err, &failure) {
		c.t.Errorf("caller %d: an error of another type: %v", c.number, err)
		return &rpc.Error{Code: rpc.CodeTransport}
	}
	return failure
}

func mayHaveEffect(failure *rpc.Error) bool {
	switch failure.Code {
	case rpc.CodeNotLeader, rpc.CodeUnavailable, rpc.CodeBadRequest:
		return false
	default:
		return !failure.Unsent
	}
}

func refusalIn(failure *rpc.Error) *api.Error {
	if failure == nil {
		return nil
	}
	return failure.API
}

func (c *caller) readConfig() (configOutput, bool) {
	began := c.history.now()
	answer, end := call[fleet.Empty, fleet.ConfigAnswer](c, fleet.MethodGetConfig, fleet.Empty{})
	if end.how != endedAnswered {
		return configOutput{}, false // a read that had no answer says nothing
	}
	c.unexpected("read the configuration", end.refusal)
	output := configOutput{result: configRead, version: answer.Status.Version, tag: tagOf(answer.Status.Config)}
	c.history.addConfig(c.number, configInput{}, output, began)
	c.counts.add("configuration read")
	return output, true
}

// taggedConfig is a configuration that can be told from others.
func taggedConfig(tag string) api.Config {
	return api.Config{Queues: []api.QueueConfig{{Name: queueName}, {Name: tag}}}
}

func tagOf(config api.Config) string {
	if len(config.Queues) < 2 {
		return ""
	}
	return config.Queues[1].Name
}

func (c *caller) changeConfig() {
	read, ok := c.readConfig()
	if !ok {
		return
	}
	c.serial++
	name := fmt.Sprintf("order-%d-%d", c.number, c.serial)
	c.putConfig(configInput{put: true, order: name, base: read.version, tag: name, resent: c.random.IntN(4) == 0})
}

// resendOrder gives an earlier order again, sometimes with other content.
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
	request := fleet.PutConfigRequest{OrderID: input.order, Base: input.base, Config: taggedConfig(input.tag)}
	began := c.history.now()
	answer, end := call[fleet.PutConfigRequest, fleet.PutConfigAnswer](c, fleet.MethodPutConfig, request)
	output := configOutput{}
	switch {
	case end.how == endedWithoutEffect:
		return
	case end.how == endedUnknown:
	case end.refusal == nil:
		output = configOutput{result: configAccepted, version: answer.Version}
		c.counts.add("configuration accepted")
	case end.refusal.Code == api.CodeLostRace:
		output.result = configLost
		c.counts.add("configuration lost")
	case end.refusal.Code == api.CodeConflict:
		output.result = configConflict
	default:
		c.unexpected("put a configuration", end.refusal)
	}
	c.history.addConfig(c.number, input, output, began)
}

// job names one of the newest jobs; each is used for a while.
func (c *caller) job() string {
	const jobLife = 250 * time.Millisecond
	newest := int(time.Since(c.history.started) / jobLife)
	return fmt.Sprintf("job-%d", max(0, newest-c.random.IntN(3)))
}

// taggedJob is a job that can be told from others by the name of its step.
func taggedJob(tag string) api.JobSpec {
	task := api.TaskSpec{Service: "s", Resources: api.Resources{CPUMillis: 1}}
	return api.JobSpec{Queue: queueName, Steps: []api.StepSpec{{Name: tag, Tasks: []api.TaskSpec{task}}}}
}

func (c *caller) submit() {
	input := jobInput{call: jobSubmit, job: c.job(), tag: "first"}
	if c.random.IntN(4) == 0 {
		input.tag = "second"
	}
	request := fleet.SubmitRequest{ID: input.job, Spec: taggedJob(input.tag)}
	began := c.history.now()
	answer, end := call[fleet.SubmitRequest, fleet.SubmitAnswer](c, fleet.MethodSubmit, request)
	output := jobOutput{}
	switch {
	case end.how == endedWithoutEffect:
		return
	case end.how == endedUnknown:
	case end.refusal == nil:
		output.result = submitResult(answer.Created, end.tries)
		c.counts.add("submitted")
	case end.refusal.Code == api.CodeConflict:
		output.result = jobConflict
	default:
		c.unexpected("submit", end.refusal)
	}
	c.history.addJob(c.number, input, output, began)
}

// submitResult: what an earlier try created is the same to a later one.
func submitResult(created bool, tries int) jobResult {
	switch {
	case created:
		return jobCreated
	case tries > 1:
		return jobTaken
	default:
		return jobSame
	}
}

func (c *caller) cancel() {
	input := jobInput{call: jobCancel, job: c.job()}
	began := c.history.now()
	answer, end := call[fleet.CancelRequest, fleet.JobAnswer](c, fleet.MethodCancel, fleet.CancelRequest{ID: input.job})
	c.noteStatus(input, answer, end, began)
}

func (c *caller) readJob() {
	input := jobInput{call: jobRead, job: c.job()}
	began := c.history.now()
	answer, end := call[fleet.GetJobRequest, fleet.JobAnswer](c, fleet.MethodGetJob, fleet.GetJobRequest{ID: input.job})
	if end.how == endedAnswered { // a read that had no answer says nothing
		c.noteStatus(input, answer, end, began)
	}
}

// noteStatus notes a call that answers with the state of the job.
func (c *caller) noteStatus(input jobInput, answer fleet.JobAnswer, end callEnd, began int64) {
	output := jobOutput{}
	switch {
	case end.how == endedWithoutEffect:
		return
	case end.how == endedUnknown:
	case end.refusal == nil:
		output = c.statusOutput(answer.Status)
		c.counts.add("job answered")
	case end.refusal.Code == api.CodeNotFound:
		output.result = jobMissing
	default:
		c.unexpected("ask for a job", end.refusal)
	}
	c.history.addJob(c.number, input, output, began)
}

func (c *caller) statusOutput(status api.JobStatus) jobOutput {
	output := jobOutput{result: jobStatus, cancelled: status.State == api.StateCancelled}
	if len(status.Steps) != 1 || (status.State != api.StatePending && !output.cancelled) {
		c.t.Errorf("caller %d: job in state %q with %d steps, but no worker runs it", c.number, status.State, len(status.Steps))
		return output
	}
	output.tag = status.Steps[0].Name
	return output
}

func (c *caller) unexpected(what string, refusal *api.Error) {
	if refusal != nil {
		c.t.Errorf("caller %d: %s: %v", c.number, what, refusal)
	}
}
