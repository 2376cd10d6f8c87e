package leaderclient

import (
	"context"
	"time"
)

// suspectAfter is how long a call to the leader may stay unanswered before the leader is
// suspected of failure and the candidates are probed, so that a dead leader is detected long
// before calls to it time out. Answers usually take about 10 ms; a leader that is only slow
// is confirmed again as soon as it answers a probe.
const suspectAfter = 200 * time.Millisecond

// supervisedCall is a call to the leader, made with a context from Supervise.
type supervisedCall struct {
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	// timer runs checkCall; guarded by Client.mutex.
	timer *time.Timer
}

// Supervise supervises a call to the leader at the address, which the caller makes with the
// returned context. If the call is unanswered for suspectAfter, the client probes the leader
// and other schedulers. It cancels the context once another leader is confirmed. The caller
// must call the returned function when the call has ended.
func (c *Client) Supervise(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	call := &supervisedCall{address: address, ctx: ctx, cancel: cancel}
	// Holding the mutex prevents checkCall from using call.timer before it is set.
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call.timer = time.AfterFunc(suspectAfter, func() { c.checkCall(call) })
	return ctx, func() { c.endSupervision(call) }
}

// checkCall cancels an unanswered call if another leader is confirmed. Otherwise it suspects
// the leader, unless that was confirmed less than suspectAfter ago, and checks again later.
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

// endSupervision releases the resources of a supervised call that has ended.
func (c *Client) endSupervision(call *supervisedCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	call.cancel()
	call.timer.Stop()
	delete(c.overdueCalls, call)
}

// cancelOverdueCalls cancels the overdue calls to schedulers other than the leader. The
// caller must hold the mutex.
func (c *Client) cancelOverdueCalls(leader string) {
	for call := range c.overdueCalls {
		if call.address != leader {
			call.cancel()
		}
	}
}
