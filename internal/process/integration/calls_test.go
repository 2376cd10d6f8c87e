package integration

import (
	"context"
	"errors"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// attemptTimeout bounds one attempt of a call.
	attemptTimeout = 400 * time.Millisecond
	// callTimeout is the time after which a call makes no further attempt.
	callTimeout = 1500 * time.Millisecond
	// retryProbability is the probability of retrying after an attempt of unknown
	// outcome; otherwise the call ends with outcomeUnknown.
	retryProbability = 0.9
)

// callOutcome is how a call ended.
type callOutcome uint8

const (
	// outcomeAnswered means that a node accepted or rejected the request.
	outcomeAnswered callOutcome = iota
	// outcomeNoEffect means that no attempt can have had an effect.
	outcomeNoEffect
	// outcomeUnknown means that an attempt may have had an effect.
	outcomeUnknown
)

// callResult is the result of a call. rejection is set if the answer was a rejection.
// attempts is the number of attempts that may have had an effect.
type callResult struct {
	outcome   callOutcome
	rejection *api.Error
	attempts  int
}

// call sends a request to nodes until one answers, callTimeout has passed, or it gives up
// after an attempt that may have had an effect.
func call[Request, Answer any](c *caller, method protocol.Method, request Request) (answer Answer, end callResult) {
	unknown := 0
	for deadline := time.Now().Add(callTimeout); time.Now().Before(deadline); {
		failure := c.attemptOnce(func(ctx context.Context, address string) (err error) {
			answer, err = rpc.Call[Request, Answer](ctx, c.client, address, method, request)
			return err
		})
		if failure == nil || failure.Code == rpc.CodeRefused {
			return answer, callResult{outcome: outcomeAnswered, rejection: rejectionOf(failure), attempts: unknown + 1}
		}
		if failure.Code == rpc.CodeBadRequest {
			c.t.Errorf("caller %d: %v", c.number, failure)
		}
		c.target = failure.LeaderAddress
		if mayHaveEffect(failure) {
			unknown++
			c.counts.add("unknown attempts")
			if c.random.Float64() > retryProbability {
				break
			}
		}
		time.Sleep(time.Duration(1+c.random.IntN(20)) * time.Millisecond)
	}
	if unknown > 0 {
		c.counts.add("left open")
		return answer, callResult{outcome: outcomeUnknown, attempts: unknown}
	}
	return answer, callResult{outcome: outcomeNoEffect}
}

// attemptOnce makes one attempt at c.target, or at a random node if c.target is empty.
func (c *caller) attemptOnce(attempt func(ctx context.Context, address string) error) *rpc.Error {
	if c.target == "" {
		c.target = c.nodes[c.random.IntN(len(c.nodes))].address
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	err := attempt(ctx, c.target)
	if err == nil {
		return nil
	}
	var failure *rpc.Error
	if !errors.As(err, &failure) {
		c.t.Errorf("caller %d: got error %v, want an *rpc.Error", c.number, err)
		return &rpc.Error{Code: rpc.CodeTransport}
	}
	return failure
}

// mayHaveEffect reports whether an attempt that ended with failure may have had an effect.
func mayHaveEffect(failure *rpc.Error) bool {
	switch failure.Code {
	case rpc.CodeNotLeader, rpc.CodeUnavailable, rpc.CodeBadRequest:
		return false
	default:
		return !failure.Unsent
	}
}

func rejectionOf(failure *rpc.Error) *api.Error {
	if failure == nil {
		return nil
	}
	return failure.API
}

// resultOf translates the result of a call to a result of a model: accepted for an answer
// that is no rejection, else the one in rejected for the rejection's code. A rejection with
// another code fails the test.
func resultOf[Result any](c *caller, what string, end callResult, unknown, accepted Result, rejected map[api.ErrorCode]Result) Result {
	switch {
	case end.outcome == outcomeUnknown:
		return unknown
	case end.rejection == nil:
		return accepted
	}
	result, expected := rejected[end.rejection.Code]
	if !expected {
		c.reportUnexpectedRejection(what, end.rejection)
		return unknown
	}
	return result
}

// reportUnexpectedRejection fails the test unless rejection is nil.
func (c *caller) reportUnexpectedRejection(what string, rejection *api.Error) {
	if rejection != nil {
		c.t.Errorf("caller %d: %s: got unexpected rejection %v", c.number, what, rejection)
	}
}
