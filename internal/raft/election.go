package raft

import "time"

func (n *Node) resetElectionDeadline() {
	spread := n.config.ElectionTimeoutMax - n.config.ElectionTimeoutMin
	timeout := n.config.ElectionTimeoutMin + time.Duration(n.random.Int64N(int64(spread)+1))
	n.electionDeadline = n.now + timeout
	n.deadlineSet = true
}

// becomeFollower gives up whatever role there was. The promise made to an
// earlier leader (heardLeader) outlives the term.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
	}
	n.role = RoleFollower
	n.leader = leader
	n.lead = leadership{}
	n.appendsPending = false
	n.resetElectionDeadline()
}

func (n *Node) tickElection() {
	if n.now < n.electionDeadline {
		return
	}
	if !n.mayCampaign() {
		n.resetElectionDeadline()
		return
	}
	n.startPreVote()
}

// mayCampaign: a candidate votes for itself, so what forbids a vote forbids
// standing as well. A replica that the newest membership leaves out stands as
// long as that may be uncommitted: it can be the only one with a log that the
// others would elect. It then counts no vote of its own (Ongaro's thesis,
// 4.2.2).
func (n *Node) mayCampaign() bool {
	if n.now < n.config.QuietUntil {
		return false
	}
	for i := len(n.memberships) - 1; i >= 0; i-- {
		entry := n.memberships[i]
		if containsID(entry.membership.Voters, n.config.ID) || containsID(entry.membership.Outgoing, n.config.ID) {
			return true
		}
		if entry.index <= n.log.commit {
			return false
		}
	}
	return false
}

// startPreVote asks whether an election could be won, without a new term
// (Ongaro's thesis, 9.6).
func (n *Node) startPreVote() {
	n.role = RolePreCandidate
	n.leader = ""
	n.resetElectionDeadline()
	n.askForVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
}

// startElection stands for the next term. transfer marks the one election that
// the leader of the present term asked for.
func (n *Node) startElection(transfer bool) {
	n.role = RoleCandidate
	n.leader = ""
	n.term++
	n.votedFor = n.config.ID
	n.resetElectionDeadline()
	n.askForVotes(Message{Kind: MessageVote, Term: n.term, Transfer: transfer})
}

func (n *Node) askForVotes(question Message) {
	question.Index = n.log.lastIndex()
	question.LogTerm = n.log.lastTerm()
	for _, p := range n.peers {
		p.ballot = ballotNone
		if p.id == n.config.ID {
			p.ballot = ballotGranted
			continue
		}
		if p.voter {
			question.To = p.id
			n.send(question)
		}
	}
	n.countBallots()
}

func (n *Node) countBallots() {
	if n.quorumHas(func(p *peer) bool { return p.ballot == ballotGranted }) {
		if n.role == RolePreCandidate {
			n.startElection(false)
			return
		}
		n.becomeLeader()
		return
	}
	if n.quorumLost(func(p *peer) bool { return p.ballot == ballotRefused }) {
		n.becomeFollower(n.term, "")
	}
}

// becomeLeader starts the term with a noop: entries of earlier terms are
// committed through it and never counted by themselves (Raft paper, 5.4.2).
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.lead = leadership{firstIndex: n.log.lastIndex() + 1}
	for _, p := range n.peers {
		p.resetForTerm(n.log.lastIndex()+1, n.now)
	}
	n.appendOwn(EntryNoop, nil)
	n.startRound()
}

func (n *Node) termReady() bool {
	return n.role == RoleLeader && n.log.commit >= n.lead.firstIndex
}

// refusesVotes is leader stickiness: a voter that answered a leader's round has
// promised it ElectionTimeoutMin without another leader, which is what a lease
// rests on. A restarted voter may have forgotten such a promise and is quiet
// for as long as one can last. Only the election that the old leader asked for
// passes over the promise (see transfer.go), and it never ends the quiet time.
func (n *Node) refusesVotes(question Message) bool {
	if n.now < n.config.QuietUntil {
		return true
	}
	if n.leaseUntil() > n.now {
		return true
	}
	if question.Transfer && question.Term > n.heardLeader.term {
		return false
	}
	return n.heardLeader.ever && n.now < n.heardLeader.at+n.config.ElectionTimeoutMin
}

// isUpToDate compares the candidate's last entry with the own (Raft paper,
// 5.4.1).
func (n *Node) isUpToDate(question Message) bool {
	lastTerm := n.log.lastTerm()
	if question.LogTerm != lastTerm {
		return question.LogTerm > lastTerm
	}
	return question.Index >= n.log.lastIndex()
}

// handlePreVote and handleVote do not ask whether this replica is a voter: the
// candidate counts by its own, possibly newer, membership. A learner whose
// promotion is committed but has not reached it must be able to answer, or the
// loss of one more replica would leave no quorum.
func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.term && !n.refusesVotes(m) && n.isUpToDate(m)
	answer := Message{Kind: MessagePreVoteAnswer, To: m.From, Reject: !granted}
	if granted {
		answer.Term = m.Term
	}
	n.send(answer)
}

func (n *Node) handleVote(m Message) {
	if m.Term < n.term {
		n.send(Message{Kind: MessageVoteAnswer, To: m.From, Reject: true})
		return
	}
	if n.refusesVotes(m) {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	unbound := n.votedFor == "" || n.votedFor == m.From
	granted := unbound && n.leader == "" && n.isUpToDate(m)
	if granted {
		n.votedFor = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{Kind: MessageVoteAnswer, To: m.From, Reject: !granted})
}

func (n *Node) handlePreVoteAnswer(m Message) {
	if n.followHigherTerm(m, m.Reject) {
		return
	}
	if n.role != RolePreCandidate || (!m.Reject && m.Term != n.term+1) {
		return
	}
	n.recordBallot(m)
}

func (n *Node) handleVoteAnswer(m Message) {
	if n.followHigherTerm(m, true) {
		return
	}
	if n.role != RoleCandidate || m.Term != n.term {
		return
	}
	n.recordBallot(m)
}

// followHigherTerm takes the term of an answer whose sender is ahead. A
// replica outside the membership has no say.
func (n *Node) followHigherTerm(m Message, isSendersTerm bool) bool {
	if !isSendersTerm || m.Term <= n.term || n.peer(m.From) == nil {
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

func (n *Node) recordBallot(m Message) {
	p := n.peer(m.From)
	if p == nil {
		return
	}
	p.ballot = ballotGranted
	if m.Reject {
		p.ballot = ballotRefused
	}
	n.countBallots()
}
