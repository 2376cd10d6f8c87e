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
	// joinRetryInterval is how often a replica that is no voter requests to be one.
	joinRetryInterval = 200 * time.Millisecond
	// voterCheckInterval is how often a voter checks that it still is one, and a
	// standby repeats its request.
	voterCheckInterval = time.Second
	// replacementCheckDelay is how long a voter knows no leader before it queries the
	// seeds whether it was replaced.
	replacementCheckDelay = 1500 * time.Millisecond
)

// joiner keeps this replica in the membership. It runs in a goroutine of its own.
type joiner struct {
	self      *localMember
	published *published
	seeds     *seedDirectory
	archive   *archiveCopier
	// members serves the requests while this replica leads.
	members *membershipServer
	client  *rpc.Client
	logger  *slog.Logger
}

// run requests from the leader to be taken in until this replica is a voter under its
// current name, zone and address, as long as ctx lasts. One that stands by repeats the
// request, more slowly, since a voter may fail.
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

// isCurrentVoter reports whether the newest membership known here lists this replica
// as a voter with its current name, zone and address.
func (j *joiner) isCurrentVoter() bool {
	return slices.Contains(j.published.status.Load().Membership.Voters, j.self.member())
}

// requestJoin copies the archive and makes one request to the leader; it reports
// whether the replica stands by. The archive goes first: it may take long, and a
// snapshot waits for the rest of it.
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
	// Whatever is applied here began with a snapshot, before which the archive
	// was copied.
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

// discoverLeader returns the leader's address, as known here or by a seed.
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

// wasReplaced reports that the cluster goes on without this replica, which then joins
// again. It keeps its log: as a learner it is brought up to date, and the votes that it
// gave are still recorded there.
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
