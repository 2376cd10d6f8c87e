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
	// defaultMaxVoters tolerates the loss of two replicas.
	defaultMaxVoters = 5
)

// Timing holds the timing of the replicated log. A zero field means the default of
// raft.Config.
type Timing struct {
	// Tick is the interval of a leader's heartbeats.
	Tick time.Duration
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random time after which a
	// replica that knows no leader campaigns.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// Lease is how long a leader may act after a quorum confirmed it. A disk is
	// considered slow when a save takes at least as long.
	Lease time.Duration
}

func (t Timing) withDefaults() Timing {
	defaultTo(&t.Tick, raft.DefaultTickInterval)
	defaultTo(&t.ElectionTimeoutMin, raft.DefaultElectionTimeoutMin)
	defaultTo(&t.ElectionTimeoutMax, raft.DefaultElectionTimeoutMax)
	defaultTo(&t.Lease, raft.DefaultLeaseDuration)
	return t
}

// Config configures a Replica. Name, Address, Seeds, Store, Record and Client are
// required.
type Config struct {
	// Name is the stable name of the machine. A replica that replaces another one on
	// the same machine has the same name.
	Name string
	// Zone is the failure domain of this replica; voters are spread over zones.
	// Replica.SetZone changes it later.
	Zone string
	// Address is the IP:port at which other replicas reach this one.
	Address string
	// Seeds are the addresses to query when the store is empty or no leader is known.
	// A replica whose own address is among them can create a cluster. Replica.SetSeeds
	// changes them later.
	Seeds []string
	// JoinOnly prevents an empty replica from creating a cluster: it waits until there
	// is a cluster to join.
	JoinOnly bool
	// MaxVoters is the number of voters up to which a newcomer gets a new voter slot.
	// Further newcomers stand by as learners. Default 5.
	MaxVoters int
	// Store stays open when Run returns; the caller closes it.
	Store storage.Store
	// Record is the state machine to which committed entries are applied.
	Record *record.Machine
	// Client makes the calls to other replicas; the caller closes it after Run.
	Client *rpc.Client
	// WallClock feeds the cluster clock. Default time.Now.
	WallClock func() time.Time
	Timing    Timing
	// SnapshotEvery is the number of applied entries after which a snapshot is taken.
	// Default 10000.
	SnapshotEvery uint64
	// SnapshotBytes is the size of applied entries, in bytes, after which a snapshot is
	// also taken, so that large entries cannot grow the log without bound. Default
	// 8 MiB.
	SnapshotBytes int64
	// RetainedEntries is the number of entries before a snapshot that stay in the log,
	// so that followers that lag a little need no snapshot. Default 2000.
	RetainedEntries uint64
	// Logger and Registerer may be nil.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// Lead is called in a separate goroutine for each term in which this replica leads,
	// see Leadership. It must return once Leadership.Context ends. It may be nil.
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

// validate returns a joined error with one ConfigError for each required field that is
// missing.
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

// defaultTo sets value to fallback if it is the zero value.
func defaultTo[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
