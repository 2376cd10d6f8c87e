package reconfig

import (
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

// membersInZones parses names such as "a1 b1" into members. The first letter of a name is
// the zone.
func membersInZones(names string) []raft.Member {
	var parsed []raft.Member
	for name := range strings.FieldsSeq(names) {
		parsed = append(parsed, raft.Member{ID: raft.ReplicaID(name), Name: name, Zone: name[:1], Address: name})
	}
	return parsed
}

// stepForLearners returns the next step for the first of the learners. The first voter is
// the leader. All learners and voters except those in unresponsive were seen just now.
func stepForLearners(voters, learners, unresponsive string, maxVoters int) Step {
	const now, voterTimeout = 10 * time.Second, 2 * time.Second
	membership := raft.Membership{Voters: membersInZones(voters), Learners: membersInZones(learners)}
	status := raft.Status{ID: membership.Voters[0].ID, LastIndex: 500, Membership: membership}
	for _, member := range append(membersInZones(voters), membersInZones(learners)...) {
		progress := raft.Progress{ID: member.ID, Match: 500, LastSeen: now}
		if strings.Contains(unresponsive, member.Name) {
			progress.LastSeen = 5 * time.Second
		}
		status.Progress = append(status.Progress, progress)
	}
	return NextStep(Query{
		Member: membership.Learners[0], ArchiveCopied: true,
		Status: status, Now: now, VoterTimeout: voterTimeout, MaxVoters: maxVoters,
	})
}

// joinNames returns the names of the members, separated by spaces.
func joinNames(members []raft.Member) string {
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	return strings.Join(names, " ")
}

// TestVoterSlotStep_SpreadsVotersOverZones checks that no zone becomes critical where that
// can be avoided.
func TestVoterSlotStep_SpreadsVotersOverZones(t *testing.T) {
	cases := map[string]struct {
		voters, learners, unresponsive string
		maxVoters                      int
		want                           string // voters after the step; empty if the learner stands by
	}{
		"zone without a voter first":                   {"a1 b1 c1", "a2 d1", "", 5, "a1 b1 c1 d1"},
		"then any zone":                                {"a1 b1 c1 d1", "a2 b2", "", 5, "a1 b1 c1 d1 a2"},
		"two at once where of four a zone is critical": {"a1 b1 c1", "a2 b2 c2", "", 5, "a1 b1 c1 a2 b2"},
		"two at once only if both are free":            {"a1 b1 c1", "a2 b2", "", 4, ""},
		"two at once of different zones":               {"a1 b1 c1", "a2 a3 b2", "", 5, "a1 b1 c1 a2 b2"},
		"three voters rather than a critical zone":     {"a1 b1 c1", "a2 a3", "", 5, ""},
		"all in one zone":                              {"a1 a2 a3", "a4", "", 5, "a1 a2 a3 a4"},
		"slot of the unresponsive voter":               {"a1 a2 b1 b2 c1", "c2", "b1", 5, "a1 a2 c2 b2 c1"},
		"slot to the learner with the best spread":     {"a1 a2 b1 b2 c1", "a3 b3", "b1", 5, "a1 a2 b3 b2 c1"},
		"no slot to an unresponsive learner":           {"a1 a2 b1 b2 c1", "a3 b3", "b1 b3", 5, "a1 a2 a3 b2 c1"},
		"majority of a zone replaced":                  {"a1 a2 a3 b1 c1", "b2", "", 5, "a1 b2 a3 b1 c1"},
		"leader keeps its slot":                        {"a1 a2 b1", "c1", "", 3, "a1 c1 b1"},
		"no better spread":                             {"a1 a2 b1", "a3", "", 3, ""},
		"good spread, all responsive, no free slot":    {"a1 b1 c1", "b2", "", 3, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step := stepForLearners(c.voters, c.learners, c.unresponsive, c.maxVoters)
			if got := joinNames(step.Target.Voters); got != c.want || step.Standby != (c.want == "") {
				t.Fatalf("got voters %q, standby %v, want voters %q", got, step.Standby, c.want)
			}
		})
	}
}
