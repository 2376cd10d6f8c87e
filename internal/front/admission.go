package front

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/decklever/decklever/api"
)

// admission holds the limits of this front alone.
type admission struct {
	submits   *rate.Limiter
	heldReads inflight
	others    inflight
}

func newAdmission() *admission {
	return &admission{submits: rate.NewLimiter(api.DefaultSubmitsPerSecond, api.DefaultSubmitsPerSecond)}
}

// submit takes a token for one submission, from a bucket that holds those of
// one second. Without one it says when there will be one. The token is to be
// given back if the leader refuses the job: the limit is on what is accepted,
// and a flood of refused jobs must not use up the tokens of others.
func (a *admission) submit(perSecond int) *api.Error {
	if a.submits.Burst() != perSecond {
		a.submits.SetLimit(rate.Limit(perSecond))
		a.submits.SetBurst(perSecond)
	}
	reservation := a.submits.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		return nil
	}
	reservation.Cancel()
	return &api.Error{
		Status:           http.StatusTooManyRequests,
		Code:             api.CodeOverLimit,
		Message:          fmt.Sprintf("this front takes %d submissions a second", perSecond),
		RetryAfterMillis: max(1, wait.Round(time.Millisecond).Milliseconds()),
	}
}

// giveBack puts a token back. A negative event is how a Limiter takes one.
func (a *admission) giveBack() { a.submits.AllowN(time.Now(), -1) }

// inflight counts requests being served.
type inflight struct{ count atomic.Int64 }

// enter counts a request in unless most are being served.
func (i *inflight) enter(most int) bool {
	if i.count.Add(1) > int64(most) {
		i.count.Add(-1)
		return false
	}
	return true
}

// leave counts out a request that had entered.
func (i *inflight) leave() { i.count.Add(-1) }
