package leaderclient

import (
	"context"
	"time"
)

// suspectAfter is how long a call to the leader may go without an answer until the
// leader is suspect, and all candidates are asked who leads. A dead leader is so found
// long before calls to it time out. Answers take some 10 ms; a leader that is only slow
// is confirmed again as soon as it answers.
const suspectAfter = 200 * time.Millisecond

// supervisedCall is a call to a leader under supervision.
type supervisedCall struct {
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	// timer runs checkCall.
	timer *time.Timer
}

// Supervise watches over a call to the leader at an address. If the call is without an
// answer for long, other schedulers are asked who leads; once another one does, the
// returned context ends. The returned function must be called when the call has ended.
func (c *Client) Supervise(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	call := &supervisedCall{address: address, ctx: ctx, cancel: cancel}
	// The mutex keeps checkCall, which reads the timer, from running before it is set.
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call.timer = time.AfterFunc(suspectAfter, func() { c.checkCall(call) })
	return ctx, func() { c.endSupervision(call) }
}

// checkCall cancels a call that is without an answer if another leader is known. If not,
// it suspects the leader, unless that has answered lately, and checks again later.
func (c *Client) checkCall(call *supervisedCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if call.ctx.Err() != nil {
		return
	}
	if c.state.confirmed && c.state.leader != call.address {
		call.cancel()
		return
	}
	c.overdueCalls[call] = struct{}{}
	now := c.now()
	if c.state.suspectLeader(now, call.address) {
		c.interruptIteration()
	}
	next := suspectAfter
	if c.state.confirmed {
		next = max(c.state.confirmedAt+suspectAfter-now, time.Millisecond)
	}
	call.timer.Reset(next)
}

func (c *Client) endSupervision(call *supervisedCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call.cancel()
	call.timer.Stop()
	delete(c.overdueCalls, call)
}

// cancelOverdueCalls cancels the calls without an answer to others than the leader. The
// caller holds the mutex.
func (c *Client) cancelOverdueCalls(leader string) {
	for call := range c.overdueCalls {
		if call.address != leader {
			call.cancel()
		}
	}
}
