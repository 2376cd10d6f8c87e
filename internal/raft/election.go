package raft

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// electionTimer is the randomized election timeout (Raft paper, 5.2).
type electionTimer struct {
	min, max time.Duration
	random   *rand.Rand
	// started is false until the owner's first call tells the time.
	started  bool
	deadline time.Duration
}

// newElectionTimer seeds each replica differently, so that replicas with equal
// configs do not campaign at the same time.
func newElectionTimer(config Config) electionTimer {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(config.ID))
	return electionTimer{
		min:    config.ElectionTimeoutMin,
		max:    config.ElectionTimeoutMax,
		random: rand.New(rand.NewPCG(uint64(config.Seed), hash.Sum64())),
	}
}

// reset draws a new timeout, counted from now.
func (t *electionTimer) reset(now time.Duration) {
	timeout := t.min + time.Duration(t.random.Int64N(int64(t.max-t.min)+1))
	t.deadline = now + timeout
	t.started = true
}

// leaderContact is when this replica last had an append or snapshot of a leader,
// and in which term. From then on it supports no other leader for
// ElectionTimeoutMin, also when its term or role changes meanwhile.
type leaderContact struct {
	known bool
	at    time.Duration
	term  uint64
}

// campaignKind says who asked for an election.
type campaignKind uint8

const (
	// campaignElection follows a timeout and a won pre-vote.
	campaignElection campaignKind = iota
	// campaignTransfer was asked for by the leader of the preceding term.
	campaignTransfer
)

// ElectionDeadline is the time at which Tick has something to do unless a
// message comes before; ok is false for a leader, which needs every tick.
func (n *Node) ElectionDeadline() (deadline time.Duration, ok bool) {
	return n.electionTimer.deadline, n.role != RoleLeader
}

// becomeFollower ends whatever role there was. What binds this replica to an
// earlier leader (leaderContact) outlives the term.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
	}
	n.role = RoleFollower
	n.leader = leader
	n.leadership = leadership{}
	n.electionTimer.reset(n.now)
}

func (n *Node) tickElection() {
	if n.now < n.electionTimer.deadline {
		return
	}
	if !n.promotable() {
		n.electionTimer.reset(n.now)
		return
	}
	n.becomePreCandidate()
}

// promotable reports whether this replica may campaign. A candidate votes for
// itself, so what forbids a vote forbids a campaign as well. A replica that the
// newest membership leaves out may campaign as long as that one may be
// uncommitted: it can be the only one whose log the others would elect. It then
// counts no vote of its own (Ongaro's thesis, 4.2.2).
func (n *Node) promotable() bool {
	return n.now >= n.config.NoVoteBefore && n.memberships.mayVote(n.config.ID, n.log.committed)
}

// becomePreCandidate asks whether an election could be won, without a new term
// (Ongaro's thesis, 9.6): a replica that was partitioned does not depose a
// leader by coming back.
func (n *Node) becomePreCandidate() {
	n.role = RolePreCandidate
	n.leader = ""
	n.electionTimer.reset(n.now)
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// becomeCandidate campaigns for the next term.
func (n *Node) becomeCandidate(kind campaignKind) {
	n.role = RoleCandidate
	n.leader = ""
	n.term++
	n.votedFor = n.config.ID
	n.electionTimer.reset(n.now)
	n.requestVotes(Message{Kind: MessageVote, Term: n.term, Transfer: kind == campaignTransfer})
}

// requestVotes sends the request to every voter, with the own last entry.
func (n *Node) requestVotes(request Message) {
	request.Index = n.log.lastIndex()
	request.LogTerm = n.log.lastTerm()
	for _, p := range n.tracker.all {
		p.vote = voteMissing
		if p.id == n.config.ID {
			p.vote = voteGranted
			continue
		}
		if p.voter {
			request.To = p.id
			n.send(request)
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	if n.tracker.hasQuorum(func(p *progress) bool { return p.vote == voteGranted }) {
		if n.role == RolePreCandidate {
			n.becomeCandidate(campaignElection)
			return
		}
		n.becomeLeader()
		return
	}
	if n.tracker.quorumUnreachable(func(p *progress) bool { return p.vote == voteRejected }) {
		n.becomeFollower(n.term, "")
	}
}

// becomeLeader starts the term with a no-op entry: entries of earlier terms are
// committed through it and never counted by themselves (Raft paper, 5.4.2).
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.leadership = leadership{
		firstIndex: n.log.lastIndex() + 1,
		lease:      lease{duration: n.config.LeaseDuration},
	}
	for _, p := range n.tracker.all {
		p.resetForTerm(n.log.lastIndex()+1, n.now)
	}
	n.appendEntry(EntryNoop, nil)
	n.broadcastHeartbeat()
}

// committedEntryInTerm reports whether this node leads and has committed an
// entry of its term. Its commit index may be behind before.
func (n *Node) committedEntryInTerm() bool {
	return n.role == RoleLeader && n.log.committed >= n.leadership.firstIndex
}

// withholdsVote is leader stickiness (Ongaro's thesis, 4.2.3): a voter that
// answered a leader's heartbeat supports no other leader for ElectionTimeoutMin,
// which is what a lease rests on. A restarted voter may have forgotten such an
// answer and withholds its vote for as long as one can bind (NoVoteBefore).
// Only the election that the old leader asked for is exempt (see transfer.go),
// and not from NoVoteBefore.
func (n *Node) withholdsVote(request Message) bool {
	if n.now < n.config.NoVoteBefore {
		return true
	}
	if n.leaseUntil() > n.now {
		return true
	}
	if request.Transfer && request.Term > n.leaderContact.term {
		return false
	}
	return n.leaderContact.known && n.now < n.leaderContact.at+n.config.ElectionTimeoutMin
}

// isUpToDate compares the candidate's last entry with the own (Raft paper,
// 5.4.1).
func (n *Node) isUpToDate(request Message) bool {
	lastTerm := n.log.lastTerm()
	if request.LogTerm != lastTerm {
		return request.LogTerm > lastTerm
	}
	return request.Index >= n.log.lastIndex()
}

// handlePreVote and handleVote do not ask whether this replica is a voter: the
// candidate counts by its own, possibly newer, membership. A learner whose
// promotion is committed but has not reached it must be able to answer, or the
// loss of one more replica would leave no quorum.
func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.term && !n.withholdsVote(m) && n.isUpToDate(m)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	n.send(response)
}

func (n *Node) handleVote(m Message) {
	if m.Term < n.term {
		n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: true})
		return
	}
	// The check goes before the term is adopted: a request that stickiness
	// rejects must not depose the leader either.
	if n.withholdsVote(m) {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	canVote := n.votedFor == "" || n.votedFor == m.From
	granted := canVote && n.leader == "" && n.isUpToDate(m)
	if granted {
		n.votedFor = m.From
		n.electionTimer.reset(n.now)
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (n *Node) handlePreVoteResponse(m Message) {
	// A granted response repeats the term asked for, which nobody is in yet.
	if m.Reject && n.adoptHigherTerm(m) {
		return
	}
	if n.role != RolePreCandidate || (!m.Reject && m.Term != n.term+1) {
		return
	}
	n.recordVote(m)
}

func (n *Node) handleVoteResponse(m Message) {
	if n.adoptHigherTerm(m) {
		return
	}
	if n.role != RoleCandidate || m.Term != n.term {
		return
	}
	n.recordVote(m)
}

// adoptHigherTerm follows a response whose sender is in a later term, and
// reports whether it did. A replica outside the membership cannot depose.
func (n *Node) adoptHigherTerm(m Message) bool {
	if m.Term <= n.term || n.tracker.get(m.From) == nil {
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

func (n *Node) recordVote(m Message) {
	p := n.tracker.get(m.From)
	if p == nil {
		return
	}
	p.vote = voteGranted
	if m.Reject {
		p.vote = voteRejected
	}
	n.countVotes()
}
