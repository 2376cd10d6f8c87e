package replica

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// joinRetryInterval is the interval of join requests of a replica that neither
	// votes nor stands by.
	joinRetryInterval = 200 * time.Millisecond
	// voterCheckInterval is how often a voter checks that it is still a voter, and the
	// interval of join requests of a standby.
	voterCheckInterval = time.Second
	// replacementCheckDelay is how long a voter must have known no leader before it
	// queries the seeds whether it was replaced.
	replacementCheckDelay = 1500 * time.Millisecond
)

// joiner keeps this replica in the membership. It runs in a separate goroutine.
type joiner struct {
	self      *localMember
	published *published
	seeds     *seedDirectory
	archive   *archiveCopier
	// members serves the join requests of this replica while it is the leader.
	members *membershipServer
	client  *rpc.Client
	logger  *slog.Logger
}

// run sends join requests to the leader until this replica is a voter with its current
// name, zone and address. It monitors the membership and requests again when necessary,
// until ctx ends. A standby keeps requesting at voterCheckInterval, since a voter may fail
// and leave its slot.
func (j *joiner) run(ctx context.Context) {
	leaderKnownAt := j.now()
	joining, replaced := false, false
	for {
		interval := voterCheckInterval
		switch {
		case !j.isCurrentVoter() || replaced:
			joining = true
			if !j.requestJoin(ctx) {
				interval = joinRetryInterval
			}
		case joining:
			joining = false
			j.logger.Info("joined", "index", j.published.applied.load())
		}
		if _, known := j.published.leader(); known || !j.isCurrentVoter() {
			leaderKnownAt, replaced = j.now(), false
		} else if j.now()-leaderKnownAt > replacementCheckDelay {
			leaderKnownAt = j.now()
			replaced = j.wasReplaced(ctx)
		}
		if !contexttime.Sleep(ctx, interval) {
			return
		}
	}
}

func (j *joiner) now() time.Duration { return j.published.monotonic.now() }

// isCurrentVoter reports whether the newest membership known to this replica lists it as
// a voter with its current name, zone and address.
func (j *joiner) isCurrentVoter() bool {
	return slices.Contains(j.published.status.Load().Membership.Voters, j.self.member())
}

// requestJoin copies the archive, sends one join request to the leader and reports
// whether the replica stands by. The archive is copied first because the copy may take
// long, and the installation of a snapshot waits for the part that is still missing.
func (j *joiner) requestJoin(ctx context.Context) (standby bool) {
	leader, known := j.discoverLeader(ctx)
	if !known {
		return false
	}
	if leader != j.self.address {
		if err := j.archive.copyFrom(ctx, leader); err != nil {
			j.logger.Warn("archive not copied", "error", err)
			return false
		}
	}
	// The record starts from a snapshot, and the archive is copied before a snapshot is
	// installed. An applied index above 0 therefore means that the archive was copied.
	request := protocol.JoinRequest{Member: j.self.member(), ArchiveCopied: j.published.applied.load() > 0}
	if leader == j.self.address {
		answer, _ := j.members.serveJoin(ctx, request)
		return answer.Standby
	}
	answer, err := rpc.Call[protocol.JoinRequest, protocol.JoinAnswer](ctx, j.client, leader, protocol.MethodJoin, request)
	if err != nil {
		j.logger.Debug("join rejected", "leader", leader, "error", err)
	}
	return answer.Standby
}

// discoverLeader returns the address of the leader that this replica or else a seed
// knows; false if none is known.
func (j *joiner) discoverLeader(ctx context.Context) (string, bool) {
	if leader, known := j.published.leader(); known {
		return leader.Address, true
	}
	for _, seed := range j.seeds.query(ctx) {
		if seed.err == nil && seed.identity.LeaderAddress != "" {
			return seed.identity.LeaderAddress, true
		}
	}
	return "", false
}

// wasReplaced reports whether a seed that knows a leader has a membership without this
// replica, which must then join again. The replica keeps its store: the leader brings its
// log up to date as that of a learner, and the store still records the votes that it gave.
func (j *joiner) wasReplaced(ctx context.Context) bool {
	for _, seed := range j.seeds.query(ctx) {
		if seed.err != nil || seed.identity.LeaderAddress == "" || seed.identity.Relay {
			continue
		}
		if _, listed := findMember(seed.identity.Membership, j.self.id); !listed {
			j.logger.Warn("replica was replaced, joining again", "leader", seed.identity.LeaderAddress)
			return true
		}
	}
	return false
}
