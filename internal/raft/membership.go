package raft

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxPromotionLag is how many entries a learner may lack of the committed ones
// when it is made a voter.
const maxPromotionLag = 1000

// ErrInvalidMembership: the wanted membership contradicts itself.
var ErrInvalidMembership = errors.New("raft: wrong membership")

// membershipEntry is a membership and the entry that brought it.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// membership is the newest of the log: it is in force from when it is
// appended, committed or not (Raft paper, 6).
func (n *Node) membership() Membership {
	return n.memberships[len(n.memberships)-1].membership
}

func (n *Node) membershipIndex() uint64 {
	return n.memberships[len(n.memberships)-1].index
}

// membershipAtIndex is the one in force when index was the last entry.
func (n *Node) membershipAtIndex(index uint64) Membership {
	found := n.memberships[0].membership
	for _, entry := range n.memberships {
		if entry.index <= index {
			found = entry.membership
		}
	}
	return found.clone()
}

// fallbackMemberships are those from the committed one on, without the newest;
// nil once that is committed.
func (n *Node) fallbackMemberships() []Membership {
	var fallbacks []Membership
	for i, next := range n.memberships[1:] {
		if next.index > n.log.committed {
			fallbacks = append(fallbacks, n.memberships[i].membership.clone())
		}
	}
	return fallbacks
}

func (n *Node) appendMemberships(added []membershipEntry) {
	if len(added) == 0 {
		return
	}
	n.memberships = append(n.memberships, added...)
	n.refreshProgress()
}

// truncateMembershipsFrom rolls back to the one before a truncation.
func (n *Node) truncateMembershipsFrom(index uint64) {
	kept := len(n.memberships)
	for kept > 1 && n.memberships[kept-1].index >= index {
		kept--
	}
	if kept == len(n.memberships) {
		return
	}
	n.memberships = n.memberships[:kept]
	n.refreshProgress()
}

// compactMembershipsTo keeps the one in force at index and all later ones.
func (n *Node) compactMembershipsTo(index uint64) {
	first := 0
	for first+1 < len(n.memberships) && n.memberships[first+1].index <= index {
		first++
	}
	n.memberships = slices.Delete(n.memberships, 0, first)
}

func decodeMemberships(entries []Entry) ([]membershipEntry, error) {
	var decoded []membershipEntry
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return nil, fmt.Errorf("raft: entry %d: %w", entry.Index, err)
		}
		decoded = append(decoded, membershipEntry{index: entry.Index, membership: membership})
	}
	return decoded, nil
}

// peer returns what is known of a replica; nil outside of the membership.
func (n *Node) progressOf(id ReplicaID) *progress {
	for _, p := range n.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// refreshProgress follows the membership and keeps what is known of those who
// stay.
func (n *Node) refreshProgress() {
	membership := n.membership()
	known := n.peers
	n.peers = nil
	n.voters = n.collectProgress(known, membership.Voters, true)
	n.outgoing = n.collectProgress(known, membership.Outgoing, true)
	n.collectProgress(known, membership.Learners, false)
}

func (n *Node) collectProgress(known []*progress, members []Member, voter bool) []*progress {
	collected := make([]*progress, 0, len(members))
	for _, member := range members {
		p := n.progressOf(member.ID)
		if p == nil {
			p = n.knownOrNew(known, member.ID)
			p.voter = voter
			n.peers = append(n.peers, p)
		}
		collected = append(collected, p)
	}
	return collected
}

func (n *Node) knownOrNew(known []*progress, id ReplicaID) *progress {
	for _, p := range known {
		if p.id == id {
			return p
		}
	}
	return &progress{id: id, next: n.log.lastIndex() + 1}
}

// ChangeMembership proposes target. Learners and member data change directly;
// a change of voters is joint first. Fails with ErrNotLeader, ErrLeadershipTransferPending,
// ErrMembershipChangePending (also before the term's first commit), ErrInvalidMembership,
// or ErrNotCaughtUp.
func (n *Node) ChangeMembership(now time.Duration, target Membership) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.transferring() {
		return ErrLeadershipTransferPending
	}
	current := n.membership()
	if !n.committedEntryInTerm() || current.joint() || n.membershipIndex() > n.log.committed {
		return ErrMembershipChangePending
	}
	if err := target.validate(); err != nil {
		return err
	}
	if sameIDs(current.Voters, target.Voters) {
		return n.appendMembership(target)
	}
	if err := n.checkPromotions(current, target); err != nil {
		return err
	}
	target.Outgoing = current.Voters
	return n.appendMembership(target)
}

// checkPromotions: a new voter must have been followed as a learner, or the
// quorum would wait for it.
func (n *Node) checkPromotions(current, target Membership) error {
	for _, voter := range target.Voters {
		if containsID(current.Voters, voter.ID) {
			continue
		}
		p := n.progressOf(voter.ID)
		if p == nil || !n.isCaughtUp(p) {
			return fmt.Errorf("raft: replica %s: %w", voter.ID, ErrNotCaughtUp)
		}
	}
	return nil
}

// isCaughtUp: the peer answers, its log agrees with the leader's, and little of
// it is missing.
func (n *Node) isCaughtUp(p *progress) bool {
	return p.respondedThisTerm && !n.isInactive(p) && p.state == stateReplicate && p.match+maxPromotionLag >= n.log.committed
}

func (n *Node) appendMembership(membership Membership) error {
	membership = membership.clone()
	data, err := EncodeMembership(membership)
	if err != nil {
		return err
	}
	n.appendEntry(EntryMembership, data)
	n.appendMemberships([]membershipEntry{{index: n.log.lastIndex(), membership: membership}})
	return nil
}

// advanceMembershipChange ends a joint membership once it is committed, and
// the leadership of one who is no longer a voter.
func (n *Node) advanceMembershipChange() {
	if n.role != RoleLeader || n.membershipIndex() > n.log.committed || !n.committedEntryInTerm() {
		return
	}
	current := n.membership()
	if current.joint() {
		if n.transferring() {
			return // the next leader does it
		}
		current.Outgoing = nil
		// It was decoded or encoded before, so that it cannot fail to encode.
		_ = n.appendMembership(current)
		return
	}
	if !containsID(current.Voters, n.config.ID) {
		n.stepDownAsNonVoter()
	}
}

// stepDownAsNonVoter ends the term of a leader that is no longer a voter. Its last
// round tells the others that the change is committed; the best of them may
// stand at once, since the lease ends here (see transfer.go).
func (n *Node) stepDownAsNonVoter() {
	n.broadcastHeartbeat()
	n.leadership.lease.relinquished = true
	target := n.transferTarget("")
	if target != nil && target.match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: target.id})
	}
	n.becomeFollower(n.term, "")
}

// isVoter reports whether a replica votes in each half of the membership.
func (m Membership) isVoter(id ReplicaID) bool {
	return containsID(m.Voters, id) && (!m.joint() || containsID(m.Outgoing, id))
}

func (m Membership) joint() bool { return len(m.Outgoing) > 0 }

func (m Membership) empty() bool {
	return len(m.Voters) == 0 && len(m.Outgoing) == 0 && len(m.Learners) == 0
}

func (m Membership) clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Outgoing: slices.Clone(m.Outgoing),
		Learners: slices.Clone(m.Learners),
	}
}

func (m Membership) sameReplicas(other Membership) bool {
	return sameIDs(m.Voters, other.Voters) && sameIDs(m.Outgoing, other.Outgoing) && sameIDs(m.Learners, other.Learners)
}

// validate checks a target of ChangeMembership.
func (m Membership) validate() error {
	if len(m.Voters) == 0 || m.joint() {
		return fmt.Errorf("%w: it needs voters and no outgoing ones", ErrInvalidMembership)
	}
	seen := make(map[ReplicaID]bool, len(m.Voters)+len(m.Learners))
	for _, member := range slices.Concat(m.Voters, m.Learners) {
		if member.ID == "" || seen[member.ID] {
			return fmt.Errorf("%w: replica id %q is empty or doubled", ErrInvalidMembership, member.ID)
		}
		seen[member.ID] = true
	}
	return nil
}

func containsID(members []Member, id ReplicaID) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}

func sameIDs(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !containsID(b, member.ID) {
			return false
		}
	}
	return true
}
