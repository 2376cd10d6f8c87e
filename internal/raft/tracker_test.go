package raft

import (
	"math"
	"testing"
)

// newTestTracker returns a tracker of a membership whose replicas all have match
// index 1.
func newTestTracker(membership Membership) *progressTracker {
	var tracker progressTracker
	tracker.switchTo(membership, 2)
	for _, p := range tracker.all {
		p.match = 1
	}
	return &tracker
}

func TestMajorityValue_ReturnsHighestValueOfMajority(t *testing.T) {
	cases := []struct {
		name    string
		matches []uint64
		want    uint64
	}{
		{"none", nil, math.MaxUint64},
		{"one", []uint64{7}, 7},
		{"two need both", []uint64{3, 9}, 3},
		{"three", []uint64{9, 1, 5}, 5},
		{"four", []uint64{9, 1, 5, 7}, 5},
		{"five", []uint64{9, 1, 5, 7, 3}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var replicas []*progress
			for _, match := range c.matches {
				replicas = append(replicas, &progress{match: match})
			}
			got := majorityValue(replicas, func(p *progress) uint64 { return p.match })
			if got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestTracker_QuorumIgnoresLearnersAndNeedsBothHalves(t *testing.T) {
	membership := testMembership("a", "b", "c")
	membership.Outgoing = testMembership("a", "d", "e").Voters
	membership.Learners = []Member{testMember("l")}
	tracker := newTestTracker(membership)
	hasQuorumOf := func(ids ...ReplicaID) bool {
		return tracker.hasQuorum(func(p *progress) bool {
			for _, id := range ids {
				if p.id == id {
					return true
				}
			}
			return false
		})
	}
	cases := []struct {
		name string
		ids  []ReplicaID
		want bool
	}{
		{"one half", []ReplicaID{"b", "c"}, false},
		{"other half", []ReplicaID{"d", "e"}, false},
		{"half and learner", []ReplicaID{"b", "c", "l"}, false},
		{"both halves", []ReplicaID{"a", "b", "d"}, true},
		{"both halves without the common voter", []ReplicaID{"b", "c", "d", "e"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := hasQuorumOf(c.ids...); got != c.want {
				t.Errorf("quorum of %v: got %v, want %v", c.ids, got, c.want)
			}
		})
	}
}

func TestTracker_NoQuorumWithoutVoters(t *testing.T) {
	tracker := newTestTracker(Membership{Learners: []Member{testMember("l")}})
	if tracker.hasQuorum(func(*progress) bool { return true }) {
		t.Error("learners without voters: got a quorum, want none")
	}
	if got := tracker.quorumValue(func(*progress) uint64 { return 5 }); got != 0 {
		t.Errorf("got quorum value %d, want 0", got)
	}
}

func TestTracker_SwitchKeepsProgressOfRemainingMembers(t *testing.T) {
	membership := testMembership("a", "b")
	membership.Learners = []Member{testMember("c")}
	tracker := newTestTracker(membership)
	tracker.get("b").match, tracker.get("c").match = 40, 30
	promoted := testMembership("a", "c", "d")
	promoted.Outgoing = membership.Voters
	tracker.switchTo(promoted, 50)
	if c := tracker.get("c"); c.match != 30 || !c.voter {
		t.Errorf("promoted learner: got progress %+v, want match 30 and a voter", c)
	}
	if d := tracker.get("d"); d.match != 0 || d.next != 50 {
		t.Errorf("added replica: got progress %+v, want match 0 and next 50", d)
	}
	if b := tracker.get("b"); b.match != 40 || len(tracker.all) != 4 {
		t.Errorf("outgoing voter: got progress %+v among %d, want match 40 among 4", b, len(tracker.all))
	}
	tracker.switchTo(testMembership("a", "c", "d"), 60)
	if tracker.get("b") != nil || len(tracker.outgoing) != 0 {
		t.Error("removed voter still has progress, or outgoing is not empty")
	}
}

func TestProgress_AcknowledgeFreesInflightAndNeverLowersMatch(t *testing.T) {
	p := &progress{match: 3, next: 10, inflight: []uint64{5, 7, 9}}
	if !p.acknowledge(7) || p.match != 7 || p.next != 10 || len(p.inflight) != 1 || p.inflight[0] != 9 {
		t.Errorf("acknowledge 7: got %+v, want match 7, next 10 and inflight [9]", p)
	}
	if p.acknowledge(5) || p.match != 7 {
		t.Errorf("acknowledge 5 after 7: got %+v, want match 7", p)
	}
	if !p.acknowledge(12) || p.next != 13 || len(p.inflight) != 0 {
		t.Errorf("acknowledge 12: got %+v, want next 13 and no inflight", p)
	}
}
