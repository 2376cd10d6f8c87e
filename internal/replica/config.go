package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

const (
	defaultSnapshotEvery   = 10_000  // entries
	defaultSnapshotBytes   = 8 << 20 // bytes
	defaultRetainedEntries = 2_000   // entries
	// defaultMaxVoters bears the loss of two replicas.
	defaultMaxVoters = 5
)

// Timing of the replicated log; zero values mean the defaults of raft.Config.
type Timing struct {
	Tick               time.Duration
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	Lease              time.Duration
}

func (t Timing) withDefaults() Timing {
	defaultTo(&t.Tick, raft.DefaultTickInterval)
	defaultTo(&t.ElectionTimeoutMin, raft.DefaultElectionTimeoutMin)
	defaultTo(&t.ElectionTimeoutMax, raft.DefaultElectionTimeoutMax)
	defaultTo(&t.Lease, raft.DefaultLeaseDuration)
	return t
}

// Config makes a Replica.
type Config struct {
	// Name is the machine's stable name, Address the IP:port that the others
	// reach this replica at.
	Name    string
	Zone    string
	Address string
	// Seeds are the addresses to ask when the store is empty or no leader is
	// known. A replica whose own address is among them can found a cluster.
	Seeds []string
	// JoinOnly keeps an empty replica from forming a new cluster: it waits for
	// one to join.
	JoinOnly bool
	// MaxVoters is the number of voters up to which a newcomer becomes one
	// beside the others; beyond it newcomers stand by as learners. Default 5.
	MaxVoters int
	// Store stays open when Run returns; its owner closes it.
	Store  storage.Store
	Record *record.Machine
	Client *rpc.Client
	// WallClock feeds the cluster clock. Default time.Now.
	WallClock func() time.Time
	Timing    Timing
	// SnapshotEvery is how many applied entries make a new snapshot, default
	// 10000. SnapshotBytes of them, default 8 MiB, make one as well, so that
	// the log is bounded whatever is in it. RetainedEntries stay in the log behind it, default 2000.
	SnapshotEvery   uint64
	SnapshotBytes   int64
	RetainedEntries uint64
	// Logger and Registerer may be nil.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Lead runs in a goroutine of its own in each term as acting leader and
	// returns once Leadership.Context ends. It may be nil.
	Lead func(Leadership)
}

func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	defaultTo(&c.SnapshotEvery, defaultSnapshotEvery)
	defaultTo(&c.SnapshotBytes, int64(defaultSnapshotBytes))
	defaultTo(&c.RetainedEntries, defaultRetainedEntries)
	defaultTo(&c.MaxVoters, defaultMaxVoters)
	if c.WallClock == nil {
		c.WallClock = time.Now
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Lead == nil {
		c.Lead = func(l Leadership) { <-l.Context.Done() }
	}
	return c
}

func (c Config) validate() error {
	var errs []error
	require := func(given bool, key string) {
		if !given {
			errs = append(errs, fmt.Errorf("replica: %s is missing", key))
		}
	}
	require(c.Name != "", "Name")
	require(c.Address != "", "Address")
	require(len(c.Seeds) > 0, "Seeds")
	require(c.Store != nil, "Store")
	require(c.Record != nil, "Record")
	require(c.Client != nil, "Client")
	return errors.Join(errs...)
}

func defaultTo[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
