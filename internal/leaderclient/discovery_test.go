package leaderclient

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestClient_QueriesSeedsConcurrently checks that dead seeds, here two of three, do not delay
// the discovery of the leader.
func TestClient_QueriesSeedsConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("c")
		schedulers.dead["a"], schedulers.dead["b"] = true, true
		client := startClient(t, schedulers, nil)
		time.Sleep(minCallInterval)
		synctest.Wait()
		if leader, _ := client.Leader(); leader != "c" || !client.Fresh() {
			t.Fatalf("got leader %q, fresh %v; want \"c\", true", leader, client.Fresh())
		}
	})
}

// TestClient_FindsNextLeaderDespiteHintsToDeadOne guards against a slow discovery of the next
// leader, because followers name the dead leader until they elect the next one.
func TestClient_FindsNextLeaderDespiteHintsToDeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.update(func() { schedulers.dead["a"] = true })
		time.Sleep(watchTimeout)
		schedulers.update(func() { schedulers.leader, schedulers.token = "b", 5 })
		electedAt := time.Now()
		for client.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		found := time.Since(electedAt)
		if maxDelay := probeGrace + maxRetryBackoff*3/2 + minCallInterval; found > maxDelay {
			t.Fatalf("found the next leader %v after its election, want at most %v", found, maxDelay)
		}
	})
}
