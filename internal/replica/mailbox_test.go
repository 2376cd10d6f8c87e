package replica

import (
	"context"
	"errors"
	"testing"
)

func TestMailbox_RunOnLoop(t *testing.T) {
	failure := errors.New("failure of the call")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := map[string]struct {
		ctx   context.Context
		serve func(*mailbox)
		want  error
	}{
		"returns the error of the call": {t.Context(), func(m *mailbox) {
			call := <-m.calls
			call.done <- call.run(nil)
		}, failure},
		"stopped before the call is taken": {t.Context(), func(m *mailbox) { close(m.stopped) }, ErrStopped},
		"stopped after the call was taken": {t.Context(), func(m *mailbox) {
			<-m.calls
			close(m.stopped)
		}, ErrStopped},
		"context ended": {cancelled, func(*mailbox) {}, context.Canceled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMailbox()
			served := make(chan struct{})
			go func() {
				defer close(served)
				c.serve(m)
			}()
			if err := m.runOnLoop(c.ctx, func(*loop) error { return failure }); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			<-served
		})
	}
}

func TestMailbox_FullQueuesRejectAndDrop(t *testing.T) {
	m := newMailbox()
	for i := range proposalQueueLength {
		if !m.submit(&proposal{}) {
			t.Fatalf("proposal %d of %d was rejected", i, proposalQueueLength)
		}
	}
	if m.submit(&proposal{}) {
		t.Error("a proposal was accepted by a full queue")
	}
	for range messageQueueLength + 1 {
		m.deliver(inbound{}) // must not block
	}
	if got := len(m.messages); got != messageQueueLength {
		t.Errorf("%d requests are queued, want %d", got, messageQueueLength)
	}
}

func TestMailbox_RejectionTellsStopFromNoLeader(t *testing.T) {
	m := newMailbox()
	if err := m.notLeaderOrStopped(); !errors.Is(err, ErrNotLeader) {
		t.Errorf("while the loop runs: %v, want ErrNotLeader", err)
	}
	close(m.stopped)
	if err := m.notLeaderOrStopped(); !errors.Is(err, ErrStopped) {
		t.Errorf("after the loop: %v, want ErrStopped", err)
	}
}
