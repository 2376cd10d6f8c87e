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
	// faultStartFraction is the time of the faults as a fraction of the ramp. It is early
	// enough for affected jobs to end before open jobs are cancelled, so that the
	// checker can decide whether their tasks started on another worker in time.
	faultStartFraction = 0.3
	// faultDuration is how long a killed agent or worker stays down, longer than its
	// lease.
	faultDuration = 7 * time.Second
	// nodesPerFault is the number of hollow nodes for each killed worker and for each
	// killed agent, on different nodes.
	nodesPerFault = 100
)

// faults kills the workers of some hollow nodes and the agents of others, and restarts
// them.
type faults struct {
	hollows *hollows
	callLog *calllog.Log
}

// run injects all faults and, after faultDuration, restarts what was killed. Errors are
// failures of the test bed. If ctx ends first, nothing is restarted.
func (f faults) run(ctx context.Context, ramp time.Duration) error {
	if !contexttime.Sleep(ctx, time.Duration(float64(ramp)*faultStartFraction)) {
		return nil
	}
	err := f.inject(hollow.CommandKillWorker, hollow.CommandKillAgent, calllog.ActionExit)
	if !contexttime.Sleep(ctx, faultDuration) {
		return err
	}
	return errors.Join(err, f.inject(hollow.CommandStartWorker, hollow.CommandStartAgent, calllog.ActionStart))
}

// inject selects nodes spread evenly over all hollow nodes, sends workerCommand to the
// first of them and to every second one from there, and agentCommand to the others. It
// records each as a fault with that action.
func (f faults) inject(workerCommand, agentCommand hollow.Command, action calllog.Action) error {
	nodes := f.hollows.nodes()
	count := 2 * max(1, nodes/nodesPerFault)
	for number := range min(count, nodes) {
		process, index := f.hollows.locate(number * nodes / count)
		command, name := workerCommand, process.spec.Nodes[index].Worker
		if number%2 == 1 {
			command, name = agentCommand, process.spec.Nodes[index].Agent
		}
		reply, err := process.call(hollow.Request{Command: command, Node: index})
		if err != nil {
			return err
		}
		f.callLog.Add(calllog.Entry{
			Kind: calllog.KindFault, Sent: reply.At, Answered: reply.At, Process: name, Action: action, Expected: true,
		})
	}
	return nil
}
