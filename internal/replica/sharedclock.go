package replica

import (
	"sync"
	"time"

	"github.com/decklever/decklever/internal/clusterclock"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// sharedClock guards the cluster clock with a mutex: the loop updates it, and any
// goroutine may read it. The parameter at of its methods is a time of the monotonic clock.
type sharedClock struct {
	self raft.ReplicaID
	// wallClock returns the wall-clock time of this machine.
	wallClock func() time.Time

	mutex sync.Mutex // guards clock
	clock clusterclock.Clock
}

func (c *sharedClock) now(at time.Duration) record.Millis {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clock.Now(at)
}

// observe records the wall-clock time of a voter, in Unix milliseconds.
func (c *sharedClock) observe(voter raft.ReplicaID, wall int64, at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clock.Observe(voter, wall, at)
}

// observeLocal records the wall-clock time of this machine.
func (c *sharedClock) observeLocal(at time.Duration) {
	c.observe(c.self, c.wallClock().UnixMilli(), at)
}

// restart continues the clock from floor, the newest time in the record. The loop calls
// it when this replica begins to act as leader of a term.
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
