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
	// started is true once the owner has passed the time to the node, which sets
	// the first deadline.
	started  bool
	deadline time.Duration
}

// newElectionTimer returns a timer seeded from Config.Seed and the replica id, so
// that replicas with the same Seed do not campaign at the same time.
func newElectionTimer(config Config) electionTimer {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(config.ID))
	return electionTimer{
		min:    config.ElectionTimeoutMin,
		max:    config.ElectionTimeoutMax,
		random: rand.New(rand.NewPCG(uint64(config.Seed), hash.Sum64())),
	}
}

// reset draws a new random timeout and sets the deadline to now plus that.
func (t *electionTimer) reset(now time.Duration) {
	timeout := t.min + time.Duration(t.random.Int64N(int64(t.max-t.min)+1))
	t.deadline = now + timeout
	t.started = true
}

// leaderContact records when and in which term this replica last received an
// append or a snapshot from a leader. For ElectionTimeoutMin after that it
// supports no other leader, even if its term or role changes. known is false if
// there was no contact since the start.
type leaderContact struct {
	known bool
	at    time.Duration
	term  uint64
}

// campaignKind is the cause of an election.
type campaignKind uint8

const (
	// campaignElection follows an election timeout and a successful pre-vote.
	campaignElection campaignKind = iota
	// campaignTransfer is requested by the leader of the preceding term, to
	// transfer leadership.
	campaignTransfer
)

// ElectionDeadline returns the time from which on Tick acts on an election
// timeout, unless a message resets the timeout before. ok is false for a leader,
// which needs every tick.
func (n *Node) ElectionDeadline() (deadline time.Duration, ok bool) {
	return n.electionTimer.deadline, n.role != RoleLeader
}

// becomeFollower discards the state of any other role. leader is empty if it is
// unknown. leaderContact is kept, since the promise to an earlier leader stays in
// force across terms.
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
// itself, so it must not campaign before NoVoteBefore. A replica that the newest
// membership leaves out may still campaign while that membership may be
// uncommitted: it can be the only replica with a log that is up to date enough to
// be elected. It does not count its own vote then (Ongaro's thesis, 4.2.2).
func (n *Node) promotable() bool {
	return n.now >= n.config.NoVoteBefore && n.memberships.mayVote(n.config.ID, n.log.committed)
}

// becomePreCandidate starts a pre-vote (Ongaro's thesis, 9.6), which asks the
// voters whether this replica could win an election without starting a new term.
// A replica that rejoins after a partition thus does not depose the leader.
func (n *Node) becomePreCandidate() {
	n.role = RolePreCandidate
	n.leader = ""
	n.electionTimer.reset(n.now)
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// becomeCandidate starts a new term, votes for itself and requests votes.
func (n *Node) becomeCandidate(kind campaignKind) {
	n.role = RoleCandidate
	n.leader = ""
	n.term++
	n.votedFor = n.config.ID
	n.electionTimer.reset(n.now)
	n.requestVotes(Message{Kind: MessageVote, Term: n.term, Transfer: kind == campaignTransfer})
}

// requestVotes sends the request, with the index and term of this replica's last
// entry, to all other voters. It records this replica's own vote as granted.
func (n *Node) requestVotes(request Message) {
	request.Index = n.log.lastIndex()
	request.LogTerm = n.log.lastTerm()
	for _, p := range n.tracker.all {
		p.vote = votePending
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

// countVotes moves to the next role if a quorum granted its vote, and back to
// follower if enough replicas rejected to make a quorum impossible.
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

// becomeLeader appends a no-op entry at the start of the term. Entries of earlier
// terms are committed along with it, and never by counting their own replicas
// (Raft paper, 5.4.2).
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

// hasCommittedEntryInTerm reports whether this node is leader and has committed an
// entry of its term. Until then its commit index may be lower than that of an
// earlier leader.
func (n *Node) hasCommittedEntryInTerm() bool {
	return n.role == RoleLeader && n.log.committed >= n.leadership.firstIndex
}

// withholdsVote implements leader stickiness (Ongaro's thesis, 4.2.3) and reports
// whether this replica must not grant the request. A voter that acknowledged a
// leader's heartbeat supports no other leader for ElectionTimeoutMin; the safety
// of the lease depends on this. A leader grants no request while it holds a lease.
// A restarted voter does not remember its acknowledgements, so it withholds its
// vote until NoVoteBefore. An election that the previous leader requested is
// exempt from the promise to that leader (see transfer.go), but not from
// NoVoteBefore.
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

// isUpToDate reports whether the candidate's log is at least as up to date as the
// log of this replica, by the term and index of the last entries (Raft paper,
// 5.4.1).
func (n *Node) isUpToDate(request Message) bool {
	lastTerm := n.log.lastTerm()
	if request.LogTerm != lastTerm {
		return request.LogTerm > lastTerm
	}
	return request.Index >= n.log.lastIndex()
}

// handlePreVote responds to a pre-vote request. Neither it nor handleVote checks
// whether this replica is a voter, since the candidate counts votes by its own
// membership, which may be newer. A learner that has not yet received the
// committed entry that promotes it must be able to vote; otherwise the loss of
// one more replica could leave no quorum.
func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.term && !n.withholdsVote(m) && n.isUpToDate(m)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		response.Term = m.Term
	}
	n.send(response)
}

// handleVote responds to a vote request. It sends no response if withholdsVote is
// true for a request of this term or a later one.
func (n *Node) handleVote(m Message) {
	if m.Term < n.term {
		n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: true})
		return
	}
	// This check comes before the term is adopted: a request that is ignored
	// because of stickiness must not depose the leader either.
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
	// A granted response repeats the requested term, which its sender has not
	// entered; only a rejection carries the sender's own term.
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

// adoptHigherTerm becomes a follower in the term of the response if that is later
// than this node's, and reports whether it did. It ignores replicas outside the
// membership, which must not depose a leader.
func (n *Node) adoptHigherTerm(m Message) bool {
	if m.Term <= n.term || n.tracker.get(m.From) == nil {
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

// recordVote counts a response to a vote or pre-vote request, unless its sender
// is outside the membership.
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
