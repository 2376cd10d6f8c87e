package leaderlink

import (
	"context"
	"time"
)

// doubtAfter is how long a call to the leader is without an answer before all
// candidates are asked who leads. A leader that is gone without a word is thus
// found out long before calls to it time out. Answers take some 10 ms; of one
// that is only slow nothing is concluded, since it says so when it is asked.
const doubtAfter = 200 * time.Millisecond

// attendedCall is a call to a leader; it is remembered by the link once it is in
// doubt.
type attendedCall struct {
	address string
	ctx     context.Context
	giveUp  context.CancelFunc
	timer   *time.Timer
}

// Attend watches over a call to the leader at an address. While it has no answer
// for long, others are asked who leads, and once another one does the returned
// context ends. The returned function must be called when the call has ended.
func (l *Link) Attend(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	call := &attendedCall{address: address, ctx: ctx, giveUp: cancel}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call.timer = time.AfterFunc(doubtAfter, func() { l.doubt(call) })
	return ctx, func() { l.forgetDoubted(call) }
}

// doubt has all candidates asked who leads, unless another one is known to or the
// leader has answered lately; then it looks again.
func (l *Link) doubt(call *attendedCall) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if call.ctx.Err() != nil {
		return
	}
	if l.state.confirmed && l.state.leader != call.address {
		call.giveUp()
		return
	}
	l.doubted[call] = struct{}{}
	now := l.now()
	if l.state.doubt(now, call.address) {
		l.wake()
	}
	next := doubtAfter
	if l.state.confirmed {
		next = max(l.state.confirmedAt+doubtAfter-now, time.Millisecond)
	}
	call.timer.Reset(next)
}

func (l *Link) forgetDoubted(call *attendedCall) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call.giveUp()
	call.timer.Stop()
	delete(l.doubted, call)
}

// giveUpDoubted ends the calls in doubt to others than the leader. The caller
// holds the mutex.
func (l *Link) giveUpDoubted(leader string) {
	for call := range l.doubted {
		if call.address != leader {
			call.giveUp()
		}
	}
}
