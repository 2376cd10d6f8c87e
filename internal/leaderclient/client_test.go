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
			t.Fatalf("got leader %q, known %v; want \"c\"", leader, ok)
		}
		if client.Token() != 4 || client.ConfigVersion() != 7 || !client.Fresh() || client.Config() == nil {
			t.Fatalf("got token %d, version %d, fresh %v; want 4, 7, true and a configuration", client.Token(), client.ConfigVersion(), client.Fresh())
		}
		if !slices.Equal(adopted, []uint64{7}) {
			t.Fatalf("OnConfig called with versions %v, want 7 once", adopted)
		}
		if schedulers.lastRequest.ConfigVersion != 7 || schedulers.lastRequest.MaxWaitMillis == 0 {
			t.Fatalf("got last watch %+v, want a long poll that confirms version 7", schedulers.lastRequest)
		}
	})
}

func TestClient_FindsNextLeaderAfterLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		schedulers.update(func() { schedulers.dead["a"] = true })
		client.ReportFailure("a")
		if _, ok := client.Leader(); ok {
			t.Fatal("got a known leader after the call to it failed, want none")
		}
		time.Sleep(2 * lease)
		if client.Fresh() {
			t.Fatal("got fresh after the lease expired, want not fresh")
		}
		schedulers.update(func() { schedulers.leader, schedulers.token = "b", 5 })
		time.Sleep(2 * time.Second)
		if leader, _ := client.Leader(); leader != "b" || client.Token() != 5 || !client.Fresh() {
			t.Fatalf("got leader %q, token %d, fresh %v; want \"b\", 5, true", leader, client.Token(), client.Fresh())
		}
	})
}

func TestClient_HigherTokenElsewhereFindsNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulers := newFakeSchedulers("a")
		client := startClient(t, schedulers, nil)
		time.Sleep(time.Second)
		if !client.ObserveToken(6) || client.ObserveToken(5) || !client.ObserveToken(6) {
			t.Fatal("got another result of ObserveToken for 6, 5 and 6, want accepted, rejected and accepted")
		}
		time.Sleep(2 * lease) // "a" still answers with token 4
		if client.Fresh() || client.Token() != 6 {
			t.Fatal("got an answer with a token below 6 accepted, want it rejected")
		}
		schedulers.update(func() { schedulers.leader, schedulers.token = "b", 6 })
		time.Sleep(time.Second)
		if leader, _ := client.Leader(); leader != "b" || !client.Fresh() {
			t.Fatalf("got leader %q, fresh %v; want \"b\", true", leader, client.Fresh())
		}
	})
}
