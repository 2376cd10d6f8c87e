package leaderclient

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/decklever/decklever/api"
)

func TestClient_FindsLeaderThroughSeedAndConfirmsConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("c")
		var adopted []uint64
		client := startClient(t, schedulers, func(version uint64, _ *api.Config) { adopted = append(adopted, version) })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if leader, ok := client.Leader(); leader != "c" || !ok {
			t.Fatalf("leader %q, %v", leader, ok)
		}
		if client.Token() != 4 || client.ConfigVersion() != 7 || !client.Fresh() || client.Config() == nil {
			t.Fatalf("token %d, version %d, fresh %v", client.Token(), client.ConfigVersion(), client.Fresh())
		}
		if !slices.Equal(adopted, []uint64{7}) {
			t.Fatalf("adopted %v, want 7 once", adopted)
		}
		if schedulers.lastRequest.ConfigVersion != 7 || schedulers.lastRequest.MaxWaitMillis == 0 {
			t.Fatalf("last watch %+v does not confirm version 7 in a long poll", schedulers.lastRequest)
		}
	})
}

func TestClient_FindsNextLeaderAfterLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.set(func() { schedulers.dead["a"] = true })
		client.ReportFailure("a")
		if _, ok := client.Leader(); ok {
			t.Fatal("a leader that failed is still known")
		}
		time.Sleep(2 * lease)
		if client.Fresh() {
			t.Fatal("fresh without an answer for longer than the lease")
		}
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 5 })
		time.Sleep(2 * time.Second)
		if leader, _ := client.Leader(); leader != "b" || client.Token() != 5 || !client.Fresh() {
			t.Fatalf("leader %q, token %d, fresh %v", leader, client.Token(), client.Fresh())
		}
	})
}

func TestClient_HigherTokenElsewhereFindsNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		if !client.ObserveToken(6) || client.ObserveToken(5) || !client.ObserveToken(6) {
			t.Fatal("tokens must only grow")
		}
		time.Sleep(2 * lease) // "a" goes on answering under token 4
		if client.Fresh() || client.Token() != 6 {
			t.Fatal("an answer under a lower token was accepted")
		}
		schedulers.set(func() { schedulers.leader, schedulers.token = "b", 6 })
		time.Sleep(time.Second)
		if leader, _ := client.Leader(); leader != "b" || !client.Fresh() {
			t.Fatalf("leader %q, fresh %v", leader, client.Fresh())
		}
	})
}
