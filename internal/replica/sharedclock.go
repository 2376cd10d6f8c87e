package replica

import (
	"sync"
	"time"

	"github.com/decklever/decklever/internal/clusterclock"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// sharedClock is the cluster clock behind a lock: the loop feeds it, and any
// goroutine reads it. Times are those of the monotonic clock.
type sharedClock struct {
	self raft.ReplicaID
	// wallClock is that of this machine.
	wallClock func() time.Time

	mutex sync.Mutex // guards clock
	clock clusterclock.Clock
}

func (c *sharedClock) now(at time.Duration) record.Millis {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clock.Now(at)
}

// observe takes the wall clock of a voter, in milliseconds, into account.
func (c *sharedClock) observe(voter raft.ReplicaID, wall int64, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clock.Observe(voter, wall, at)
}

// observeOwn takes the wall clock of this machine into account.
func (c *sharedClock) observeOwn(at time.Duration) {
	c.observe(c.self, c.wallClock().UnixMilli(), at)
}

// restart continues from floor, the newest time in the record, when a term as
// leader begins.
func (c *sharedClock) restart(floor record.Millis, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clock.Restart(floor, at)
}

func (c *sharedClock) setVoters(voters []raft.ReplicaID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clock.SetVoters(voters)
}
