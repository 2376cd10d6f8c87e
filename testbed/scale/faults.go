package scale

import (
	"context"
	"errors"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/hollow"
)

const (
	// faultAt is when faults come, as a part of the ramp: early enough that
	// the jobs they hit end by themselves, so that the checker can tell whether
	// their tasks started elsewhere in time.
	faultAt = 0.3
	// faultLength is how long a killed agent or worker stays down: longer than its
	// lease.
	faultLength = 7 * time.Second
	// faultShare is the part of the hollow nodes that loses its worker, and
	// again as many lose their agent.
	faultShare = 100
)

// faults kills some hollow workers and the agents of others, and starts them
// again.
type faults struct {
	hollows *hollows
	calls   *calllog.Log
}

// run causes all faults and undoes them; an error is one of the test bed.
func (f faults) run(ctx context.Context, ramp time.Duration) error {
	if !contexttime.Sleep(ctx, time.Duration(float64(ramp)*faultAt)) {
		return nil
	}
	err := f.inject(hollow.CommandKillWorker, hollow.CommandKillAgent, calllog.ActionExit)
	if !contexttime.Sleep(ctx, faultLength) {
		return err
	}
	return errors.Join(err, f.inject(hollow.CommandStartWorker, hollow.CommandStartAgent, calllog.ActionStart))
}

// inject gives the first order to the nodes at even places and the second to
// those at odd ones.
func (f faults) inject(forWorkers, forAgents hollow.Command, action calllog.Action) error {
	nodes := f.hollows.nodes()
	count := 2 * max(1, nodes/faultShare)
	for number := range min(count, nodes) {
		process, index := f.hollows.find(number * nodes / count)
		order, name := forWorkers, process.spec.Nodes[index].Worker
		if number%2 == 1 {
			order, name = forAgents, process.spec.Nodes[index].Agent
		}
		reply, err := process.call(hollow.Request{Command: order, Node: index})
		if err != nil {
			return err
		}
		f.calls.Add(calllog.Entry{
			Kind: calllog.KindFault, Sent: reply.At, Answered: reply.At, Process: name, Action: action, Expected: true,
		})
	}
	return nil
}
