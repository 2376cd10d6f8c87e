package replica

import (
	"errors"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
)

// Defaults of Config.
const (
	defaultSnapshotEvery   = 10_000  // entries
	defaultSnapshotBytes   = 8 << 20 // bytes
	defaultRetainedEntries = 2_000   // entries
	// defaultMaxVoters bears the loss of two replicas.
	defaultMaxVoters = 5
)

// Timing of the replicated log; zero values mean the defaults of raft.Config.
type Timing struct {
	// Tick is the interval of a leader's heartbeats.
	Tick time.Duration
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random time after which a
	// replica that knows no leader campaigns.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// Lease is how long a leader may act after a quorum confirmed it. A disk whose
	// saves take as long is a slow one.
	Lease time.Duration
}

func (t Timing) withDefaults() Timing {
	defaultTo(&t.Tick, raft.DefaultTickInterval)
	defaultTo(&t.ElectionTimeoutMin, raft.DefaultElectionTimeoutMin)
	defaultTo(&t.ElectionTimeoutMax, raft.DefaultElectionTimeoutMax)
	defaultTo(&t.Lease, raft.DefaultLeaseDuration)
	return t
}

// Config makes a Replica. Name, Address, Seeds, Store, Record and Client are required.
type Config struct {
	// Name is the machine's stable name: a replacement replica has the same.
	Name string
	// Zone is the failure domain that voters are spread over. Replica.SetZone changes
	// it later.
	Zone string
	// Address is the IP:port at which the others reach this replica.
	Address string
	// Seeds are the addresses to query when the store is empty or no leader is known.
	// A replica whose own address is among them can create a cluster. Replica.SetSeeds
	// changes them later.
	Seeds []string
	// JoinOnly keeps an empty replica from creating a cluster: it waits for one to
	// join.
	JoinOnly bool
	// MaxVoters is the number of voters up to which a newcomer gets a slot of its own;
	// beyond it newcomers stand by as learners. Default 5.
	MaxVoters int
	// Store stays open when Run returns; its owner closes it.
	Store storage.Store
	// Record is what entries are applied to.
	Record *record.Machine
	// Client makes the calls to other replicas; its owner closes it after Run.
	Client *rpc.Client
	// WallClock feeds the cluster clock. Default time.Now.
	WallClock func() time.Time
	Timing    Timing
	// SnapshotEvery is the number of applied entries after which a snapshot is taken.
	// Default 10000.
	SnapshotEvery uint64
	// SnapshotBytes is the size of applied entries after which a snapshot is taken as
	// well, so that the log is bounded whatever is in it. Default 8 MiB.
	SnapshotBytes int64
	// RetainedEntries is the number of entries that stay in the log behind a snapshot,
	// for followers that lag a little. Default 2000.
	RetainedEntries uint64
	// Logger and Registerer may be nil.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Lead is called in a goroutine of its own in each term as acting leader, and must
	// return once Leadership.Context ends. It may be nil.
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

// validate joins a ConfigError for each required field that is missing.
func (c Config) validate() error {
	var errs []error
	require := func(present bool, field string) {
		if !present {
			errs = append(errs, &ConfigError{Field: field})
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
