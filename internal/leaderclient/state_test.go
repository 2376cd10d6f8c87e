package leaderclient

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
)

func TestState_AcceptsAnswerCompletelyOrNotAtAll(t *testing.T) {
	config := &api.Config{}
	validAnswer := protocol.WatchAnswer{Token: 4, ConfigVersion: 8, Config: config, LeaseMillis: 1500}
	cases := []struct {
		name   string
		change func(*protocol.WatchAnswer)
		now    time.Duration
		want   error
	}{
		{"newer", func(*protocol.WatchAnswer) {}, time.Second, nil},
		{"lower token", func(a *protocol.WatchAnswer) { a.Token = 3 }, time.Second, errStaleToken},
		{"older config", func(a *protocol.WatchAnswer) { a.ConfigVersion = 6 }, time.Second, errStaleConfig},
		{"content missing", func(a *protocol.WatchAnswer) { a.Config = nil }, time.Second, errMissingConfig},
		{"no lease", func(a *protocol.WatchAnswer) { a.LeaseMillis = 0 }, time.Second, errNoLease},
		{"after its lease", func(*protocol.WatchAnswer) {}, 1500 * time.Millisecond, errLeaseExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{token: 4, configVersion: 7, failedAt: map[string]time.Duration{}}
			answer := validAnswer
			c.change(&answer)
			_, err := s.accept(c.now, 0, "a", answer)
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
			if err != nil && (s.leader != "" || s.fresh(c.now)) {
				t.Fatal("got the leader or the lease changed by a rejected answer, want both unchanged")
			}
		})
	}
}

func TestState_HintToFailedAddressIsNotFollowed(t *testing.T) {
	s := state{failedAt: map[string]time.Duration{}}
	s.observeFailure(0, "a")
	s.observeHint(hintBackoff/2, "a")
	if s.leader != "" {
		t.Fatal("got a hint to an address followed that failed within hintBackoff, want it ignored")
	}
	s.observeHint(2*hintBackoff, "a")
	if s.leader != "a" {
		t.Fatal("got a hint to an address ignored that failed more than hintBackoff ago, want it followed")
	}
}

func TestState_DroppedLeaderBecomesPreviousLeader(t *testing.T) {
	cases := []struct {
		name string
		drop func(*state)
	}{
		{"no answer", func(s *state) { s.observeFailure(time.Second, "a") }},
		{"unknown by hint", func(s *state) { s.observeHint(time.Second, "") }},
		{"answer rejected", func(s *state) { s.reject(time.Second, "a") }},
		{"dropped twice", func(s *state) { s.dropLeader(); s.dropLeader() }},
		{"hint that failed since", func(s *state) { s.observeHint(time.Second, "a"); s.observeFailure(2*time.Second, "a") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state{leader: "a", confirmed: true, failedAt: map[string]time.Duration{}}
			c.drop(&s)
			if s.leader != "" || s.previousLeader != "a" {
				t.Errorf("got leader %q, previous leader %q; want none, \"a\"", s.leader, s.previousLeader)
			}
		})
	}
}

func TestState_VersionOnlyAcceptsAnswerWithoutContent(t *testing.T) {
	s := state{token: 4, configVersion: 7, versionOnly: true, failedAt: map[string]time.Duration{}}
	newer, err := s.accept(0, 0, "a", protocol.WatchAnswer{Token: 4, ConfigVersion: 8, LeaseMillis: 1500})
	if err != nil || !newer {
		t.Fatalf("got newer %v, error %v; want true, no error", newer, err)
	}
}

// TestState_LateAnswerAcceptedOnlyWhileFresh checks an answer that comes after the lease it
// grants has expired. It must be accepted only if answers to heartbeats extended the lease.
func TestState_LateAnswerAcceptedOnlyWhileFresh(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		s := state{versionOnly: true, failedAt: map[string]time.Duration{}}
		if fresh {
			s.freshUntil = 3 * lease
		}
		_, err := s.accept(2*lease, 0, "a", protocol.WatchAnswer{Token: 4, ConfigVersion: 8, LeaseMillis: lease.Milliseconds()})
		if (err == nil) != fresh {
			t.Errorf("fresh %v: got error %v, want an error only if not fresh", fresh, err)
		}
	}
}
