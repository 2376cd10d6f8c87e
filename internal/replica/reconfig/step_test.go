package reconfig

import (
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
)

func TestNextStep_FollowsNewcomerProgress(t *testing.T) {
	newcomer := raft.Member{ID: "n", Name: "name-c", Address: "address-n"}
	asLearner := members("a", "b", "c")
	asLearner.Learners = []raft.Member{newcomer}
	withEarlierLearner := members("a", "b", "c")
	withEarlierLearner.Learners = []raft.Member{{ID: "o", Name: "name-c"}}
	joint := members("a", "b", "n")
	joint.Outgoing = members("a", "b", "c").Voters
	asVoter := members("a", "b")
	asVoter.Voters = append(asVoter.Voters, newcomer)
	asVoterElsewhere := members("a", "b")
	asVoterElsewhere.Voters = append(asVoterElsewhere.Voters, raft.Member{ID: "n", Name: "name-c", Address: "elsewhere"})
	cases := map[string]struct {
		current       raft.Membership
		archiveCopied bool
		match         uint64
		lastSeenC     time.Duration // now is 10 s
		change        Change
		postponed     bool
		voter         bool
	}{
		"unknown":                           {members("a", "b", "c"), false, 0, 0, ChangeAddLearner, false, false},
		"earlier learner of its name":       {withEarlierLearner, false, 0, 0, ChangeAddLearner, false, false},
		"learner without the archive":       {asLearner, false, 500, 0, ChangeNone, false, false},
		"learner that lags":                 {asLearner, true, 399, 0, ChangeNone, false, false},
		"voter of its name is responsive":   {asLearner, true, 500, 9 * time.Second, ChangeNone, true, false},
		"voter of its name is unresponsive": {asLearner, true, 400, 7 * time.Second, ChangePromote, false, false},
		"joint change in progress":          {joint, true, 500, 0, ChangeNone, false, false},
		"voter":                             {asVoter, true, 500, 0, ChangeNone, false, true},
		"voter at another address":          {asVoterElsewhere, true, 500, 0, ChangeMemberData, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step := NextStep(Query{
				Member:        newcomer,
				ArchiveCopied: c.archiveCopied,
				Status: raft.Status{
					ID: "a", LastIndex: 500, Membership: c.current,
					Progress: []raft.Progress{{ID: "n", Match: c.match, Learner: true}, {ID: "c", LastSeen: c.lastSeenC}},
				},
				Now:          10 * time.Second,
				VoterTimeout: 2 * time.Second,
				MaxVoters:    3,
			})
			if step.Change != c.change || (step.PostponedReason != "") != c.postponed || step.Voter != c.voter {
				t.Fatalf("got step %+v, want the change, postponed and voter of the test case", step)
			}
			if c.change == ChangePromote && (!slices.Equal(step.Target.Voters, asVoter.Voters) || len(step.Target.Outgoing) != 0 || len(step.Target.Learners) != 0 || step.Replaces != "c") {
				t.Fatalf("got target %+v that replaces %s, want voters a, b and n without learners, replacing c", step.Target, step.Replaces)
			}
			if c.change == ChangeAddLearner && len(step.Target.Learners) != 1 {
				t.Fatalf("got learners %v, want only the newcomer", step.Target.Learners)
			}
		})
	}
}

// TestNextStep_PromotesCaughtUpLearner checks which voter slot a learner that has caught up
// gets.
func TestNextStep_PromotesCaughtUpLearner(t *testing.T) {
	sameAddress := raft.Member{ID: "n", Name: "name-c", Address: "address-c"}
	otherMachine := raft.Member{ID: "n", Name: "name-n", Address: "address-n"}
	const now, voterTimeout = 10 * time.Second, 2 * time.Second
	cases := map[string]struct {
		newcomer  raft.Member
		maxVoters int
		lastSeenB time.Duration
		lastSeenC time.Duration
		change    Change
		replaces  raft.ReplicaID
		standby   bool
	}{
		"same address, responsive":                        {sameAddress, 3, now, now, ChangePromote, "c", false},
		"other machine, all responsive":                   {otherMachine, 3, now, now, ChangeNone, "", true},
		"other machine, few voters":                       {otherMachine, 5, now, now, ChangePromote, "", false},
		"other machine, one unresponsive":                 {otherMachine, 3, 7 * time.Second, now, ChangePromote, "b", false},
		"other machine, few voters, one unresponsive":     {otherMachine, 5, now, 7 * time.Second, ChangePromote, "c", false},
		"other machine, replaces the one last seen first": {otherMachine, 3, 6 * time.Second, 5 * time.Second, ChangePromote, "c", false},
		"other machine, one last seen within the timeout": {otherMachine, 3, 9 * time.Second, now, ChangeNone, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			current := members("a", "b", "c")
			current.Learners = []raft.Member{c.newcomer}
			step := NextStep(Query{
				Member:        c.newcomer,
				ArchiveCopied: true,
				Status: raft.Status{
					ID: "a", LastIndex: 500, Membership: current,
					Progress: []raft.Progress{{ID: "n", Match: 500, Learner: true}, {ID: "b", LastSeen: c.lastSeenB}, {ID: "c", LastSeen: c.lastSeenC}},
				},
				Now: now, VoterTimeout: voterTimeout, MaxVoters: c.maxVoters,
			})
			if step.Change != c.change || step.Replaces != c.replaces || step.Standby != c.standby {
				t.Fatalf("got step %+v, want the change, replaces and standby of the test case", step)
			}
			if c.change == ChangeNone {
				return
			}
			wantVoters := 3
			if c.replaces == "" {
				wantVoters = 4
			}
			if len(step.Target.Voters) != wantVoters || len(step.Target.Learners) != 0 || indexOf(step.Target.Voters, "n") < 0 {
				t.Fatalf("got target %+v, want n as a voter in a new or replaced slot, and no learners", step.Target)
			}
		})
	}
}

func TestNextRetireStep_PrefersLearnerOfSameZone(t *testing.T) {
	const now, timeout = 10 * time.Second, time.Second
	standby := func(id, zone string) raft.Member { return raft.Member{ID: raft.ReplicaID(id), Name: id, Zone: zone} }
	progress := func(id string, match uint64, seen time.Duration) raft.Progress {
		return raft.Progress{ID: raft.ReplicaID(id), Match: match, LastSeen: seen, Learner: true}
	}
	current := members("a", "b", "c")
	current.Voters[1].Zone = "z2"
	current.Learners = []raft.Member{standby("l1", "z1"), standby("l2", "z2"), standby("behind", "z2"), standby("unresponsive", "z2")}
	status := raft.Status{ID: "a", LastIndex: 500, Membership: current, Progress: []raft.Progress{
		progress("l1", 500, now), progress("l2", 500, now), progress("behind", 10, now), progress("unresponsive", 500, 8*time.Second),
	}}
	step := NextRetireStep("b", status, now, timeout)
	if step.Replaces != "b" || indexOf(step.Target.Voters, "l2") < 0 || len(step.Target.Voters) != 3 || len(step.Target.Learners) != 3 {
		t.Fatalf("got %+v, want learner l2 of the same zone in the slot of b", step)
	}
	if step := NextRetireStep("x", status, now, timeout); step.Change != ChangeNone {
		t.Fatalf("x is not a voter: got %+v, want no change", step)
	}
	status.Membership.Learners = current.Learners[2:]
	if step := NextRetireStep("b", status, now, timeout); step.Change != ChangeNone {
		t.Fatalf("no standby is ready: got %+v, want no change", step)
	}
}
