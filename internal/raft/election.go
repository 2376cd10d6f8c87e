package raft

import "time"

func (n *Node) resetElectionDeadline() {
	spread := n.config.ElectionTimeoutMax - n.config.ElectionTimeoutMin
	timeout := n.config.ElectionTimeoutMin + time.Duration(n.random.Int64N(int64(spread)+1))
	n.electionDeadline = n.now + timeout
	n.electionDeadlineSet = true
}

// becomeFollower gives up whatever role there was. The promise made to an
// earlier leader (leaderContact) outlives the term.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
	}
	n.role = RoleFollower
	n.leader = leader
	n.leadership = leadership{}
	n.broadcastPending = false
	n.resetElectionDeadline()
}

func (n *Node) tickElection() {
	if n.now < n.electionDeadline {
		return
	}
	if !n.promotable() {
		n.resetElectionDeadline()
		return
	}
	n.becomePreCandidate()
}

// promotable: a candidate votes for itself, so what forbids a vote forbids
// standing as well. A replica that the newest membership leaves out stands as
// long as that may be uncommitted: it can be the only one with a log that the
// others would elect. It then counts no vote of its own (Ongaro's thesis,
// 4.2.2).
func (n *Node) promotable() bool {
	if n.now < n.config.NoVoteBefore {
		return false
	}
	for i := len(n.memberships) - 1; i >= 0; i-- {
		entry := n.memberships[i]
		if containsID(entry.membership.Voters, n.config.ID) || containsID(entry.membership.Outgoing, n.config.ID) {
			return true
		}
		if entry.index <= n.log.committed {
			return false
		}
	}
	return false
}

// becomePreCandidate asks whether an election could be won, without a new term
// (Ongaro's thesis, 9.6).
func (n *Node) becomePreCandidate() {
	n.role = RolePreCandidate
	n.leader = ""
	n.resetElectionDeadline()
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// becomeCandidate stands for the next term. transfer marks the one election that
// the leader of the present term asked for.
func (n *Node) becomeCandidate(transfer bool) {
	n.role = RoleCandidate
	n.leader = ""
	n.term++
	n.votedFor = n.config.ID
	n.resetElectionDeadline()
	n.requestVotes(Message{Kind: MessageVote, Term: n.term, Transfer: transfer})
}

func (n *Node) requestVotes(request Message) {
	request.Index = n.log.lastIndex()
	request.LogTerm = n.log.lastTerm()
	for _, p := range n.peers {
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
	if n.hasQuorum(func(p *progress) bool { return p.vote == voteGranted }) {
		if n.role == RolePreCandidate {
			n.becomeCandidate(false)
			return
		}
		n.becomeLeader()
		return
	}
	if n.quorumUnreachable(func(p *progress) bool { return p.vote == voteRejected }) {
		n.becomeFollower(n.term, "")
	}
}

// becomeLeader starts the term with a noop: entries of earlier terms are
// committed through it and never counted by themselves (Raft paper, 5.4.2).
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.leadership = leadership{firstIndex: n.log.lastIndex() + 1}
	for _, p := range n.peers {
		p.resetForTerm(n.log.lastIndex()+1, n.now)
	}
	n.appendEntry(EntryNoop, nil)
	n.broadcastHeartbeat()
}

func (n *Node) committedEntryInTerm() bool {
	return n.role == RoleLeader && n.log.committed >= n.leadership.firstIndex
}

// withholdsVote is leader stickiness: a voter that answered a leader's round has
// promised it ElectionTimeoutMin without another leader, which is what a lease
// rests on. A restarted voter may have forgotten such a promise and is quiet
// for as long as one can last. Only the election that the old leader asked for
// passes over the promise (see transfer.go), and it never ends the quiet time.
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
	answer := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !granted}
	if granted {
		answer.Term = m.Term
	}
	n.send(answer)
}

func (n *Node) handleVote(m Message) {
	if m.Term < n.term {
		n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: true})
		return
	}
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
		n.resetElectionDeadline()
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (n *Node) handlePreVoteResponse(m Message) {
	if n.adoptHigherTerm(m, m.Reject) {
		return
	}
	if n.role != RolePreCandidate || (!m.Reject && m.Term != n.term+1) {
		return
	}
	n.recordVote(m)
}

func (n *Node) handleVoteResponse(m Message) {
	if n.adoptHigherTerm(m, true) {
		return
	}
	if n.role != RoleCandidate || m.Term != n.term {
		return
	}
	n.recordVote(m)
}

// adoptHigherTerm takes the term of an answer whose sender is ahead. A
// replica outside the membership has no say.
func (n *Node) adoptHigherTerm(m Message, isSenderTerm bool) bool {
	if !isSenderTerm || m.Term <= n.term || n.progressOf(m.From) == nil {
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

func (n *Node) recordVote(m Message) {
	p := n.progressOf(m.From)
	if p == nil {
		return
	}
	p.vote = voteGranted
	if m.Reject {
		p.vote = voteRejected
	}
	n.countVotes()
}
