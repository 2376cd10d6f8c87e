package leaderclient

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// lease is the lease that fakeSchedulers grant.
	lease = 1500 * time.Millisecond
	// watchTimeout bounds a short watch call.
	watchTimeout = watchWait + answerGrace
)

// fakeSchedulers is a set of schedulers that answers the watch calls of one client. mutex
// guards its fields.
type fakeSchedulers struct {
	mutex  sync.Mutex
	leader string
	// dead has the addresses of schedulers that do not answer.
	dead    map[string]bool
	token   uint64
	version uint64
	// watchedAddresses has the address of each call, in order.
	watchedAddresses []string
	lastRequest      protocol.WatchRequest
}

// newFakeSchedulers returns schedulers that are all alive, with fencing token 4 and
// configuration version 7.
func newFakeSchedulers(leader string) *fakeSchedulers {
	return &fakeSchedulers{leader: leader, token: 4, version: 7, dead: map[string]bool{}}
}

// watch is the client's watchFunc.
func (f *fakeSchedulers) watch(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
	f.mutex.Lock()
	f.watchedAddresses = append(f.watchedAddresses, address)
	dead, leader := f.dead[address], f.leader
	answer := protocol.WatchAnswer{
		Token: f.token, LeaderAddress: f.leader, ConfigVersion: f.version,
		Config: &api.Config{}, LeaseMillis: lease.Milliseconds(),
	}
	f.lastRequest = request
	f.mutex.Unlock()
	if dead {
		<-ctx.Done()
		return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeTransport}
	}
	if address != leader {
		return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeNotLeader, LeaderAddress: leader}
	}
	contexttime.Sleep(ctx, time.Duration(request.MaxWaitMillis)*time.Millisecond)
	if ctx.Err() != nil {
		return protocol.WatchAnswer{}, &rpc.Error{Code: rpc.CodeTransport}
	}
	return answer, nil
}

// update calls change while it holds the mutex.
func (f *fakeSchedulers) update(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// startClient starts a client and runs it with the seeds "a", "b" and "c" until the test ends.
func startClient(t *testing.T, schedulers *fakeSchedulers, onConfig func(uint64, *api.Config)) *Client {
	t.Helper()
	client := New(Config{
		Process: "agent-1", Role: "agent", Zone: "z1", OnConfig: onConfig,
		Seeds: func() []string { return []string{"a", "b", "c"} },
	})
	client.watch = schedulers.watch
	if client.Fresh() {
		t.Fatal("got fresh before the first answer, want not fresh")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return client
}

// watchCount returns the number of calls received.
func (f *fakeSchedulers) watchCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.watchedAddresses)
}
