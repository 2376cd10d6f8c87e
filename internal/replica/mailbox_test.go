package replica

import (
	"context"
	"errors"
	"testing"
)

func TestMailbox_RunOnLoop(t *testing.T) {
	failure := errors.New("failure of the call")
	canceled, cancel := context.WithCancel(t.Context())
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
		"context ended": {canceled, func(*mailbox) {}, context.Canceled},
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
		if !m.enqueueProposal(&proposal{}) {
			t.Fatalf("proposal %d rejected by a queue of capacity %d", i, proposalQueueLength)
		}
	}
	if m.enqueueProposal(&proposal{}) {
		t.Error("proposal accepted by a full queue")
	}
	for range messageQueueLength + 1 {
		m.enqueueMessages(inboundRequest{}) // must not block on the full queue
	}
	if got := len(m.messages); got != messageQueueLength {
		t.Errorf("%d raft requests queued, want %d", got, messageQueueLength)
	}
}

func TestMailbox_RejectionDistinguishesStoppedFromNotLeader(t *testing.T) {
	m := newMailbox()
	if err := m.notLeaderOrStopped(); !errors.Is(err, ErrNotLeader) {
		t.Errorf("while the loop runs: got %v, want ErrNotLeader", err)
	}
	close(m.stopped)
	if err := m.notLeaderOrStopped(); !errors.Is(err, ErrStopped) {
		t.Errorf("after the loop has ended: got %v, want ErrStopped", err)
	}
}
