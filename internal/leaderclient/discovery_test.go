package leaderclient

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestClient_QueriesSeedsConcurrently has two of three seeds dead.
func TestClient_QueriesSeedsConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("c")
		schedulers.dead["a"], schedulers.dead["b"] = true, true
		client := startClient(t, schedulers, nil)
		time.Sleep(minCallInterval)
		synctest.Wait()
		if leader, _ := client.Leader(); leader != "c" || !client.Fresh() {
			t.Fatalf("leader %q, fresh %v", leader, client.Fresh())
		}
	})
}

// TestClient_FindsNextLeaderDespiteHintsToDeadOne has the followers name the dead leader
// until they elect.
func TestClient_FindsNextLeaderDespiteHintsToDeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		time.Sleep(watchTimeout)
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 5 })
		elected := time.Now()
		for client.Token() != 5 {
			time.Sleep(time.Millisecond)
		}
		found := time.Since(elected)
		if longest := probeGrace + maxRetryBackoff*3/2 + minCallInterval; found > longest {
			t.Fatalf("found after %v, want at most %v", found, longest)
		}
	})
}
