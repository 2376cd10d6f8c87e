package clusterclock

import (
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

const epoch = int64(1_800_000_000_000)

var voters = []raft.ReplicaID{"a", "b", "c"}

// observeVoters observes each voter in offsets at the monotonic time at, with its
// wall clock ahead of the true time by its offset.
func observeVoters(c *Clock, at time.Duration, offsets map[raft.ReplicaID]time.Duration) {
	for id, offset := range offsets {
		c.Observe(id, epoch+(at+offset).Milliseconds(), at)
	}
}

func requireClusterTime(t *testing.T, c *Clock, at time.Duration, want record.Millis, tolerance record.Millis) {
	t.Helper()
	got := c.Now(at)
	if got < want-tolerance || got > want+tolerance {
		t.Fatalf("at %v: got cluster time %d, which is off by %d ms, want at most %d ms", at, got, got-want, tolerance)
	}
}

// trueTime returns the cluster time that correct clocks show at the monotonic time at.
func trueTime(at time.Duration) record.Millis { return record.Millis(epoch + at.Milliseconds()) }

// A jump of one voter's clock by an hour must not move cluster time, also when one of
// the other voters, or none, is disconnected 10 s later.
func TestClock_OneJumpDoesNotMoveClusterTime(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		for _, jumpingVoter := range voters {
			for _, disconnected := range append([]raft.ReplicaID{""}, voters...) {
				if disconnected == jumpingVoter {
					continue
				}
				var c Clock
				c.SetVoters(voters)
				c.Restart(trueTime(0), 0)
				offsets := map[raft.ReplicaID]time.Duration{"a": 0, "b": 10 * time.Millisecond, "c": 20 * time.Millisecond}
				last := record.Millis(0)
				for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
					if at == 5*time.Second {
						offsets[jumpingVoter] += jump
					}
					if at == 15*time.Second {
						delete(offsets, disconnected)
					}
					observeVoters(&c, at, offsets)
					requireClusterTime(t, &c, at, trueTime(at), 30)
					if now := c.Now(at); now < last {
						t.Fatalf("cluster time went back from %d to %d", last, now)
					} else {
						last = now
					}
				}
			}
		}
	}
}

func TestClock_NewLeaderContinuesFromLog(t *testing.T) {
	var c Clock
	c.SetVoters(voters)
	floor := trueTime(time.Minute) // logged by a leader whose clock was ahead
	c.Restart(floor, 0)
	if got := c.Now(0); got != floor {
		t.Fatalf("got first cluster time %d, want the floor %d", got, floor)
	}
	requireClusterTime(t, &c, time.Second, floor+1000, 0) // no reading yet: extrapolated
	c.Observe("a", epoch+1000, time.Second)
	requireClusterTime(t, &c, 2*time.Second, floor+2000, 0) // one of three voters is not a majority
	last := c.Now(2 * time.Second)
	for at := 2 * time.Second; at < 3*time.Minute; at += 50 * time.Millisecond {
		observeVoters(&c, at, map[raft.ReplicaID]time.Duration{"a": 0, "b": 0, "c": 0})
		now := c.Now(at)
		if now < last {
			t.Fatalf("cluster time went back from %d to %d", last, now)
		}
		last = now
	}
	requireClusterTime(t, &c, 3*time.Minute, trueTime(3*time.Minute), 0)
}

func TestClock_FirstMedianStepsForward(t *testing.T) {
	for _, floor := range []record.Millis{0, record.Millis(epoch) - 3_600_000} {
		var c Clock
		c.SetVoters(voters)
		c.Restart(floor, 0)
		observeVoters(&c, time.Second, map[raft.ReplicaID]time.Duration{"a": 0, "b": 0})
		requireClusterTime(t, &c, time.Second, trueTime(time.Second), 0)
	}
}

func TestClock_MajorityAheadIsSlewed(t *testing.T) {
	var c Clock
	c.SetVoters(voters)
	c.Restart(trueTime(0), 0)
	offsets := map[raft.ReplicaID]time.Duration{"a": 0, "b": 0, "c": 0}
	observeVoters(&c, 0, offsets)
	requireClusterTime(t, &c, 0, trueTime(0), 0)
	offsets["a"], offsets["b"] = time.Second, time.Second
	observeVoters(&c, time.Second, offsets)
	requireClusterTime(t, &c, time.Second, trueTime(time.Second)+100, 1)
	for at := time.Second; at < time.Minute; at += 50 * time.Millisecond {
		observeVoters(&c, at, offsets)
		c.Now(at)
	}
	requireClusterTime(t, &c, time.Minute, trueTime(time.Minute)+1000, 1)
}

func TestClock_StaleAndForeignReadingsIgnored(t *testing.T) {
	var c Clock
	c.SetVoters(voters)
	c.Restart(1000, 0)
	c.Observe("non-voter", epoch, 0)
	observeVoters(&c, 0, map[raft.ReplicaID]time.Duration{"a": 0, "b": 0})
	c.SetVoters([]raft.ReplicaID{"b", "c", "d"})
	requireClusterTime(t, &c, 0, 1000, 0)
	c.SetVoters(voters)
	c.Observe("a", epoch, 0)
	requireClusterTime(t, &c, 11*time.Second, 12_000, 0)
}

func TestClock_EarlierTimeCountsAsLatest(t *testing.T) {
	var c Clock
	c.SetVoters(voters)
	c.Restart(1000, 10*time.Second)
	requireClusterTime(t, &c, 15*time.Second, 6000, 0)
	requireClusterTime(t, &c, 12*time.Second, 6000, 0)
	requireClusterTime(t, &c, 16*time.Second, 7000, 0)
}
