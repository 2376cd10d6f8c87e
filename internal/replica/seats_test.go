package replica

import (
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
)

// membersInZones makes members of names whose first letter is their zone: "a1 b1".
func membersInZones(names string) []raft.Member {
	var made []raft.Member
	for name := range strings.FieldsSeq(names) {
		made = append(made, raft.Member{ID: raft.ReplicaID(name), Name: name, Zone: name[:1], Address: name})
	}
	return made
}

// stepForLearners is the step for the first of the learners; all of them and all
// voters are well but those named silent. The first voter leads.
func stepForLearners(voters, learners, silent string, maxVoters int) membershipStep {
	const now, silence = 10 * time.Second, 2 * time.Second
	membership := raft.Membership{Voters: membersInZones(voters), Learners: membersInZones(learners)}
	status := raft.Status{ID: membership.Voters[0].ID, LastIndex: 500, Membership: membership}
	for _, member := range append(membersInZones(voters), membersInZones(learners)...) {
		progress := raft.Progress{ID: member.ID, Match: 500, LastSeen: now}
		if strings.Contains(silent, member.Name) {
			progress.LastSeen = 5 * time.Second
		}
		status.Progress = append(status.Progress, progress)
	}
	return nextMembershipStep(membershipQuery{
		request: protocol.JoinRequest{Member: membership.Learners[0], ArchiveCopied: true},
		status:  status, now: now, voterTimeout: silence, maxVoters: maxVoters,
	})
}

func joinNames(members []raft.Member) string {
	var all []string
	for _, member := range members {
		all = append(all, member.Name)
	}
	return strings.Join(all, " ")
}

// TestVoterSlotStep_SpreadsVotersOverZones: no zone decides alone where that can be had.
func TestVoterSlotStep_SpreadsVotersOverZones(t *testing.T) {
	cases := map[string]struct {
		voters, learners, silent string
		maxVoters                int
		want                     string // the voters after it; empty: stands by
	}{
		"a zone without a voter first":            {"a1 b1 c1", "a2 d1", "", 5, "a1 b1 c1 d1"},
		"then any":                                {"a1 b1 c1 d1", "a2 b2", "", 5, "a1 b1 c1 d1 a2"},
		"two at once where four would depend":     {"a1 b1 c1", "a2 b2 c2", "", 5, "a1 b1 c1 a2 b2"},
		"not two of one zone":                     {"a1 b1 c1", "a2 a3 b2", "", 5, "a1 b1 c1 a2 b2"},
		"rather three than a majority in a zone":  {"a1 b1 c1", "a2 a3", "", 5, ""},
		"one zone only":                           {"a1 a2 a3", "a4", "", 5, "a1 a2 a3 a4"},
		"the seat of the silent one":              {"a1 a2 b1 b2 c1", "c2", "b1", 5, "a1 a2 c2 b2 c1"},
		"the best learner takes it":               {"a1 a2 b1 b2 c1", "a3 b3", "b1", 5, "a1 a2 b3 b2 c1"},
		"not a silent learner":                    {"a1 a2 b1 b2 c1", "a3 b3", "b1 b3", 5, "a1 a2 a3 b2 c1"},
		"a majority of a zone is taken from it":   {"a1 a2 a3 b1 c1", "b2", "", 5, "a1 b2 a3 b1 c1"},
		"the leader keeps its seat":               {"a1 a2 b1", "c1", "", 3, "a1 c1 b1"},
		"nothing better, nothing done":            {"a1 a2 b1", "a3", "", 3, ""},
		"spread well, all heard, none to be made": {"a1 b1 c1", "b2", "", 3, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step := stepForLearners(c.voters, c.learners, c.silent, c.maxVoters)
			if got := joinNames(step.target.Voters); got != c.want || step.standby != (c.want == "") {
				t.Fatalf("voters %q, stands by %v; want %q", got, step.standby, c.want)
			}
		})
	}
}
