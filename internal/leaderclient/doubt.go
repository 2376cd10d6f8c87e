package leaderclient

import (
	"context"
	"time"
)

// suspectAfter is how long a call to the leader is without an answer before all
// candidates are asked who leads. A leader that is gone without a word is thus
// found out long before calls to it time out. Answers take some 10 ms; of one
// that is only slow nothing is concluded, since it says so when it is asked.
const suspectAfter = 200 * time.Millisecond

// supervisedCall is a call to a leader; it is remembered by the link once it is in
// doubt.
type supervisedCall struct {
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
}

// Supervise watches over a call to the leader at an address. While it has no answer
// for long, others are asked who leads, and once another one does the returned
// context ends. The returned function must be called when the call has ended.
func (l *Client) Supervise(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	call := &supervisedCall{address: address, ctx: ctx, cancel: cancel}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call.timer = time.AfterFunc(suspectAfter, func() { l.suspectLeader(call) })
	return ctx, func() { l.endSupervision(call) }
}

// suspectLeader has all candidates asked who leads, unless another one is known to or the
// leader has answered lately; then it looks again.
func (l *Client) suspectLeader(call *supervisedCall) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if call.ctx.Err() != nil {
		return
	}
	if l.state.confirmed && l.state.leader != call.address {
		call.cancel()
		return
	}
	l.overdueCalls[call] = struct{}{}
	now := l.now()
	if l.state.suspectLeader(now, call.address) {
		l.interruptIteration()
	}
	next := suspectAfter
	if l.state.confirmed {
		next = max(l.state.confirmedAt+suspectAfter-now, time.Millisecond)
	}
	call.timer.Reset(next)
}

func (l *Client) endSupervision(call *supervisedCall) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call.cancel()
	call.timer.Stop()
	delete(l.overdueCalls, call)
}

// cancelOverdueCalls ends the calls in doubt to others than the leader. The caller
// holds the mutex.
func (l *Client) cancelOverdueCalls(leader string) {
	for call := range l.overdueCalls {
		if call.address != leader {
			call.cancel()
		}
	}
}
