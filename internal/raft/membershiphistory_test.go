package raft

import "testing"

// newTestHistory returns a history with the memberships at indexes 10, 20 and so on.
func newTestHistory(memberships ...Membership) *membershipHistory {
	var history membershipHistory
	for i, membership := range memberships {
		history.append(membershipEntry{index: uint64(10 * (i + 1)), membership: membership})
	}
	return &history
}

func TestMembershipHistory_AtReturnsMembershipInForce(t *testing.T) {
	history := newTestHistory(testMembership("a"), testMembership("a", "b"), testMembership("a", "b", "c"))
	for index, want := range map[uint64]int{5: 1, 10: 1, 19: 1, 20: 2, 29: 2, 30: 3, 99: 3} {
		if got := len(history.at(index).Voters); got != want {
			t.Errorf("index %d: got %d voters, want %d", index, got, want)
		}
	}
}

func TestMembershipHistory_FallbacksEmptyOnceNewestCommitted(t *testing.T) {
	history := newTestHistory(testMembership("a"), testMembership("a", "b"), testMembership("a", "b", "c"))
	for committed, want := range map[uint64]int{10: 2, 19: 2, 20: 1, 29: 1, 30: 0} {
		fallbacks := history.fallbacks(committed)
		if len(fallbacks) != want {
			t.Errorf("commit index %d: got %d fallback memberships, want %d", committed, len(fallbacks), want)
		}
	}
	if fallbacks := history.fallbacks(20); len(fallbacks[0].Voters) != 2 {
		t.Errorf("the oldest fallback is not the committed membership: %+v", fallbacks)
	}
}

func TestMembershipHistory_TruncationAndCompactionKeepOneMembership(t *testing.T) {
	history := newTestHistory(testMembership("a"), testMembership("a", "b"), testMembership("a", "b", "c"))
	if history.truncateFrom(31) {
		t.Error("a truncation after the newest membership dropped one")
	}
	if !history.truncateFrom(20) || history.newestIndex() != 10 {
		t.Errorf("got newest membership at index %d after a truncation from 20, want 10", history.newestIndex())
	}
	if history.truncateFrom(1) || len(history.entries) != 1 {
		t.Error("a truncation from 1 dropped the oldest membership")
	}
	history = newTestHistory(testMembership("a"), testMembership("a", "b"), testMembership("a", "b", "c"))
	history.compactTo(25)
	if len(history.entries) != 2 || len(history.at(25).Voters) != 2 {
		t.Errorf("got %+v after a compaction to 25, want the memberships of 2 and 3 voters", history.entries)
	}
}

func TestMembershipHistory_MayVoteUntilRemovalIsCommitted(t *testing.T) {
	history := newTestHistory(testMembership("a", "b"), testMembership("b", "c"))
	for _, c := range []struct {
		name      string
		id        ReplicaID
		committed uint64
		want      bool
	}{
		{"removal not committed", "a", 10, true},
		{"removal committed", "a", 20, false},
		{"added, not committed", "c", 10, true},
		{"never a member", "x", 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := history.mayVote(c.id, c.committed); got != c.want {
				t.Errorf("got mayVote %v, want %v", got, c.want)
			}
		})
	}
}
