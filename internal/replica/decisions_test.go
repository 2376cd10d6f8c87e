package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/rpc"
)

func member(id string) raft.Member {
	return raft.Member{ID: raft.ReplicaID(id), Name: "name-" + id, Address: "address-" + id}
}

func members(ids ...string) raft.Membership {
	var membership raft.Membership
	for _, id := range ids {
		membership.Voters = append(membership.Voters, member(id))
	}
	return membership
}

func bootstrappingSeed(id string, proposal raft.Membership) seedResponse {
	return seedResponse{address: id, identity: protocol.IdentityAnswer{Member: member(id), Empty: true, Bootstrapping: true, Membership: proposal}}
}

func TestDecideBootstrap_FollowsSeedResponses(t *testing.T) {
	all := members("a", "b", "c")
	silent := seedResponse{address: "c", err: errors.New("refused")}
	full := func(founded raft.Membership) seedResponse {
		return seedResponse{address: "c", identity: protocol.IdentityAnswer{Member: member("c"), InitialMembership: &founded}}
	}
	joiner := seedResponse{address: "c", identity: protocol.IdentityAnswer{Member: member("c"), Empty: true}}
	sameName := bootstrappingSeed("c", raft.Membership{})
	sameName.identity.Member.Name = "name-a"
	cases := map[string]struct {
		proposal raft.Membership
		answers  []seedResponse
		want     bootstrapAction
		founds   raft.Membership
	}{
		"first round":        {raft.Membership{}, []seedResponse{bootstrappingSeed("c", all), bootstrappingSeed("a", raft.Membership{}), bootstrappingSeed("b", all)}, bootstrapPropose, all},
		"not all agree":      {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", raft.Membership{}), bootstrappingSeed("c", all)}, bootstrapWait, raft.Membership{}},
		"other proposal":     {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", members("b", "c")), bootstrappingSeed("c", all)}, bootstrapWait, raft.Membership{}},
		"all agree":          {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("c", all), bootstrappingSeed("b", all), bootstrappingSeed("b", all)}, bootstrapCreate, all},
		"new id after loss":  {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), bootstrappingSeed("d", raft.Membership{})}, bootstrapPropose, members("a", "b", "d")},
		"one silent":         {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), silent}, bootstrapWait, raft.Membership{}},
		"one joins":          {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), joiner}, bootstrapWait, raft.Membership{}},
		"same name":          {all, []seedResponse{bootstrappingSeed("a", all), bootstrappingSeed("b", all), sameName}, bootstrapWait, raft.Membership{}},
		"not a seed":         {all, []seedResponse{bootstrappingSeed("b", all), bootstrappingSeed("c", all)}, bootstrapWait, raft.Membership{}},
		"founded with us":    {raft.Membership{}, []seedResponse{bootstrappingSeed("a", all), silent, full(all)}, bootstrapCreate, all},
		"founded without us": {all, []seedResponse{bootstrappingSeed("a", all), silent, full(members("b", "c", "x"))}, bootstrapJoin, raft.Membership{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := decideBootstrap("a", c.proposal, c.answers)
			if got.action != c.want || !sameMembership(got.membership, c.founds) {
				t.Fatalf("got %+v, want action %d with %v", got, c.want, c.founds)
			}
			if (got.reason == "") == (got.action == bootstrapWait) {
				t.Fatalf("missing is %q", got.reason)
			}
		})
	}
}

func TestNextMembershipStep_FollowsNewcomerProgress(t *testing.T) {
	newcomer := raft.Member{ID: "n", Name: "name-c", Address: "address-n"}
	learner := members("a", "b", "c")
	learner.Learners = []raft.Member{newcomer}
	earlier := members("a", "b", "c")
	earlier.Learners = []raft.Member{{ID: "o", Name: "name-c"}}
	joint := members("a", "b", "n")
	joint.Outgoing = members("a", "b", "c").Voters
	done := members("a", "b")
	done.Voters = append(done.Voters, newcomer)
	moved := members("a", "b")
	moved.Voters = append(moved.Voters, raft.Member{ID: "n", Name: "name-c", Address: "elsewhere"})
	cases := map[string]struct {
		current raft.Membership
		copied  bool
		match   uint64
		heard   time.Duration // the old one, of 10s
		change  string
		refused bool
		voter   bool
	}{
		"new":              {members("a", "b", "c"), false, 0, 0, changeAddLearner, false, false},
		"earlier learner":  {earlier, false, 0, 0, changeAddLearner, false, false},
		"archive missing":  {learner, false, 500, 0, "", false, false},
		"behind":           {learner, true, 399, 0, "", false, false},
		"old one is heard": {learner, true, 500, 9 * time.Second, "", true, false},
		"old one silent":   {learner, true, 400, 7 * time.Second, changePromote, false, false},
		"joint":            {joint, true, 500, 0, "", false, false},
		"done":             {done, true, 500, 0, "", false, true},
		"other address":    {moved, true, 500, 0, changeMemberData, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			step := nextMembershipStep(membershipQuery{
				request: protocol.JoinRequest{Member: newcomer, ArchiveCopied: c.copied},
				status: raft.Status{
					ID: "a", LastIndex: 500, Membership: c.current,
					Progress: []raft.Progress{{ID: "n", Match: c.match, Learner: true}, {ID: "c", LastSeen: c.heard}},
				},
				now:          10 * time.Second,
				voterTimeout: 2 * time.Second,
				maxVoters:    3,
			})
			if step.change != c.change || (step.postponed != "") != c.refused || step.voter != c.voter {
				t.Fatalf("got %+v", step)
			}
			if c.change == changePromote && (!sameMembership(step.target, done) || step.replaces != "c") {
				t.Fatalf("target %+v replaces %s", step.target, step.replaces)
			}
			if c.change == changeAddLearner && len(step.target.Learners) != 1 {
				t.Fatalf("learners %v, want the newcomer alone", step.target.Learners)
			}
		})
	}
}

func TestDecideJoin_NeverCreatesCluster(t *testing.T) {
	empty := []seedResponse{bootstrappingSeed("a", members("a", "b")), bootstrappingSeed("b", members("a", "b"))}
	if got := decideJoin(empty); got.action != bootstrapWait || got.reason == "" {
		t.Fatalf("empty seeds: %+v", got)
	}
	full := append(empty, seedResponse{address: "c", identity: protocol.IdentityAnswer{Member: member("c")}})
	if got := decideJoin(full); got.action != bootstrapJoin {
		t.Fatalf("a seed has a cluster: %+v", got)
	}
	silent := []seedResponse{{address: "c", err: errors.New("refused")}}
	if got := decideJoin(silent); got.action != bootstrapWait {
		t.Fatalf("silent seed: %+v", got)
	}
}

// TestNextMembershipStep_PromotesCaughtUpLearner: where a newcomer that has caught up goes.
func TestNextMembershipStep_PromotesCaughtUpLearner(t *testing.T) {
	sameAddress := raft.Member{ID: "n", Name: "name-c", Address: "address-c"}
	stranger := raft.Member{ID: "n", Name: "name-n", Address: "address-n"}
	const now, silence = 10 * time.Second, 2 * time.Second
	cases := map[string]struct {
		newcomer  raft.Member
		maxVoters int
		heardB    time.Duration
		heardC    time.Duration
		change    string
		replaces  raft.ReplicaID
		standby   bool
	}{
		"same address, heard a moment ago":  {sameAddress, 3, now, now, changePromote, "c", false},
		"stranger, all are heard":           {stranger, 3, now, now, "", "", true},
		"stranger, few voters":              {stranger, 5, now, now, changePromote, "", false},
		"stranger, one is silent":           {stranger, 3, 7 * time.Second, now, changePromote, "b", false},
		"stranger, few voters, one silent":  {stranger, 5, now, 7 * time.Second, changePromote, "c", false},
		"stranger, takes the longest gone":  {stranger, 3, 6 * time.Second, 5 * time.Second, changePromote, "c", false},
		"stranger, silent but not for long": {stranger, 3, 9 * time.Second, now, "", "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			current := members("a", "b", "c")
			current.Learners = []raft.Member{c.newcomer}
			step := nextMembershipStep(membershipQuery{
				request: protocol.JoinRequest{Member: c.newcomer, ArchiveCopied: true},
				status: raft.Status{
					ID: "a", LastIndex: 500, Membership: current,
					Progress: []raft.Progress{{ID: "n", Match: 500, Learner: true}, {ID: "b", LastSeen: c.heardB}, {ID: "c", LastSeen: c.heardC}},
				},
				now: now, voterTimeout: silence, maxVoters: c.maxVoters,
			})
			if step.change != c.change || step.replaces != c.replaces || step.standby != c.standby {
				t.Fatalf("got %+v", step)
			}
			if c.change == "" {
				return
			}
			wantVoters := 3
			if c.replaces == "" {
				wantVoters = 4
			}
			if len(step.target.Voters) != wantVoters || len(step.target.Learners) != 0 || indexOf(step.target.Voters, "n") < 0 {
				t.Fatalf("target %+v", step.target)
			}
		})
	}
}

func TestNextRetireStep_PrefersLearnerOfSameZone(t *testing.T) {
	const now, silence = 10 * time.Second, time.Second
	standby := func(id, zone string) raft.Member { return raft.Member{ID: raft.ReplicaID(id), Name: id, Zone: zone} }
	progress := func(id string, match uint64, seen time.Duration) raft.Progress {
		return raft.Progress{ID: raft.ReplicaID(id), Match: match, LastSeen: seen, Learner: true}
	}
	current := members("a", "b", "c")
	current.Voters[1].Zone = "z2"
	current.Learners = []raft.Member{standby("l1", "z1"), standby("l2", "z2"), standby("behind", "z2"), standby("silent", "z2")}
	status := raft.Status{ID: "a", LastIndex: 500, Membership: current, Progress: []raft.Progress{
		progress("l1", 500, now), progress("l2", 500, now), progress("behind", 10, now), progress("silent", 500, 8*time.Second),
	}}
	step := nextRetireStep("b", status, now, silence)
	if step.replaces != "b" || indexOf(step.target.Voters, "l2") < 0 || len(step.target.Voters) != 3 || len(step.target.Learners) != 3 {
		t.Fatalf("got %+v, want the learner of the same zone in the place of b", step)
	}
	if step := nextRetireStep("x", status, now, silence); step.change != "" {
		t.Fatalf("no voter: %+v", step)
	}
	status.Membership.Learners = current.Learners[2:]
	if step := nextRetireStep("b", status, now, silence); step.change != "" {
		t.Fatalf("nobody stands by: %+v", step)
	}
}

func TestHoldsLease_ExpiresWhileProcessFrozen(t *testing.T) {
	client := rpc.NewClient(rpc.ClientConfig{})
	defer client.Close()
	r := newMachines(t, 1)[0].newReplica(client)
	r.leadership.Store(&leadershipView{leader: true, term: 7, leaseUntil: r.now() + time.Hour})
	if !r.HoldsLease(7) || r.HoldsLease(6) || r.HoldsLease(8) {
		t.Fatal("the lease is held under token 7 alone")
	}
	r.startedAt = r.startedAt.Add(-time.Hour) // the process was frozen so long
	if r.HoldsLease(7) {
		t.Fatal("the lease outlived its end")
	}
}

func TestSendQueue_BoundsQueuedBytes(t *testing.T) {
	q := newSendQueue()
	entries := []raft.Entry{{Data: make([]byte, maxRequestBytes/2)}}
	for range 100 {
		q.push(raft.Message{Kind: raft.MessageAppend, Entries: entries})
	}
	if q.bytes > maxQueuedBytes {
		t.Fatalf("%d bytes wait, allowed are %d", q.bytes, maxQueuedBytes)
	}
	queued := len(q.messages)
	taken := 0
	for batch := q.take(); len(batch) > 0; batch = q.take() {
		if len(batch) > 2 {
			t.Fatalf("%d messages in one request", len(batch))
		}
		taken += len(batch)
	}
	if taken != queued || q.bytes != 0 {
		t.Fatalf("took %d of %d, %d bytes left", taken, queued, q.bytes)
	}
	if q.push(raft.Message{}) {
		t.Fatal("an empty queue makes a message wait")
	}
}
