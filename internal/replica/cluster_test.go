package replica

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
	"github.com/decklever/decklever/internal/rpc"
	"github.com/decklever/decklever/internal/storage"
	"github.com/decklever/decklever/internal/testaddress"
	"github.com/decklever/decklever/internal/testnetwork"
)

// waitTimeout is the timeout of a wait for a condition, far above the time that any of
// them needs.
const waitTimeout = 60 * time.Second

// machine is the fixture of all tests with running replicas. It runs one replica at a time;
// its name, address and store are kept when the replica is replaced.
type machine struct {
	t             testing.TB
	name          string
	zone          string
	address       string
	seeds         []string
	store         storage.Store
	snapshotEvery uint64
	// maxVoters and joinOnly set Config.MaxVoters and Config.JoinOnly.
	maxVoters int
	joinOnly  bool
	// network connects the machines; nil means the loopback interface.
	network *testnetwork.Network
	// unresponsive makes every call to the replica wait until its caller cancels it.
	unresponsive atomic.Bool

	replica *Replica
	// stop stops the replica; it is set by start.
	stop func()

	mutex       sync.Mutex
	activeLeads int
	tokens      []uint64 // tokens of the Lead calls, in call order
}

// newMachines creates machines with reserved loopback addresses; every machine has all
// addresses as seeds.
func newMachines(t testing.TB, count int) []*machine {
	t.Helper()
	var addresses []string
	for range count {
		addresses = append(addresses, testaddress.New(t))
	}
	return machinesAt(t, nil, addresses...)
}

// newSynctestMachines is newMachines for testing/synctest, with a simulated network: time
// advances only while every replica is blocked, so that a busy host delays none of them.
func newSynctestMachines(t testing.TB, count int) []*machine {
	t.Helper()
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	return machinesAt(t, testnetwork.New(), addresses...)
}

func machinesAt(t testing.TB, network *testnetwork.Network, addresses ...string) []*machine {
	t.Helper()
	machines := make([]*machine, len(addresses))
	for i := range machines {
		machines[i] = &machine{
			t:             t,
			name:          fmt.Sprintf("control-%d", i+1),
			zone:          "zone",
			address:       addresses[i],
			seeds:         addresses,
			store:         storage.NewMemory(int64(i + 1)),
			snapshotEvery: 1_000_000,
			network:       network,
		}
	}
	return machines
}

// newClusterWithStandby creates three seeds, which become the voters, and a fourth machine,
// which becomes a standby learner.
func newClusterWithStandby(t *testing.T) (seeds []*machine, standby *machine) {
	t.Helper()
	machines := newMachines(t, 4)
	for _, m := range machines {
		m.seeds = machines[0].seeds[:3]
		m.maxVoters = 3
	}
	machines[3].joinOnly = true
	return machines[:3], machines[3]
}

// newReplica creates a replica on the machine's store.
func (m *machine) newReplica(client *rpc.Client) *Replica {
	m.t.Helper()
	replica, err := New(Config{
		Name:            m.name,
		Zone:            m.zone,
		Address:         m.address,
		Seeds:           m.seeds,
		Store:           m.store,
		Record:          record.NewMachine(record.Config{Archive: m.store.Archive()}),
		Client:          client,
		SnapshotEvery:   m.snapshotEvery,
		MaxVoters:       m.maxVoters,
		JoinOnly:        m.joinOnly,
		RetainedEntries: 2,
		Logger:          slog.New(slog.NewTextHandler(m.t.Output(), nil)).With("machine", m.name),
		Lead:            m.lead,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	return replica
}

// start creates a replica on the machine's store, and runs it and its RPC server.
func (m *machine) start() {
	m.t.Helper()
	listener, config := m.connect()
	client := rpc.NewClient(config)
	replica := m.newReplica(client)
	server := rpc.NewServer(rpc.ServerConfig{})
	replica.Register(server)
	httpServer := &http.Server{Handler: m.blockWhileUnresponsive(server), ReadHeaderTimeout: time.Second}
	var running sync.WaitGroup
	running.Go(func() { _ = httpServer.Serve(listener) })
	ctx, cancel := context.WithCancel(context.Background())
	running.Go(func() {
		if err := replica.Run(ctx); err != nil {
			m.t.Errorf("%s: %v", m.name, err)
		}
	})
	m.replica = replica
	m.stop = sync.OnceFunc(func() {
		_ = httpServer.Close()
		cancel()
		running.Wait()
		client.Close()
	})
	m.t.Cleanup(m.stop)
}

// connect returns the machine's listener, and the client configuration for calls to other
// machines.
func (m *machine) connect() (net.Listener, rpc.ClientConfig) {
	m.t.Helper()
	if m.network != nil {
		return m.network.Listen(m.t, m.address), rpc.ClientConfig{Dialer: m.network.DialContext}
	}
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		m.t.Fatal(err)
	}
	return listener, rpc.ClientConfig{}
}

// blockWhileUnresponsive passes requests to server, but makes them wait until their caller
// cancels them while unresponsive is set.
func (m *machine) blockWhileUnresponsive(server http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if m.unresponsive.Load() {
			// The server detects that the caller has gone only once the body is read.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return
		}
		server.ServeHTTP(writer, request)
	})
}

// crash stops the replica and discards unsynced data of a storage.Memory.
func (m *machine) crash() {
	m.stop()
	if store, ok := m.store.(*storage.Memory); ok {
		store.Crash()
	}
}

// useDisk makes the machine use a disk store in directory, which may exist already.
func (m *machine) useDisk(directory string) {
	m.t.Helper()
	disk, err := storage.OpenDisk(storage.DiskConfig{Directory: directory})
	if err != nil {
		m.t.Fatal(err)
	}
	m.store = disk
	m.t.Cleanup(func() { _ = disk.Close() })
}

// lead is the machine's Config.Lead. It fails the test if two calls overlap.
func (m *machine) lead(leadership Leadership) {
	m.mutex.Lock()
	m.activeLeads++
	if m.activeLeads > 1 {
		m.t.Errorf("%s: two Lead calls at once", m.name)
	}
	m.tokens = append(m.tokens, leadership.Token)
	m.mutex.Unlock()
	<-leadership.Context.Done()
	m.mutex.Lock()
	m.activeLeads--
	m.mutex.Unlock()
}

// leadTokens returns the tokens of all Lead calls on the machine, in call order.
func (m *machine) leadTokens() []uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]uint64(nil), m.tokens...)
}

// eventually waits until a condition holds, and fails the test after waitTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leaderOf waits until one of the machines holds the lease and its Lead has been called in
// that term, and returns that machine.
func leaderOf(t testing.TB, machines ...*machine) *machine {
	t.Helper()
	var leader *machine
	eventually(t, "a leader", func() bool {
		for _, m := range machines {
			status := m.replica.Status()
			leads := m.leadTokens()
			if m.replica.HoldsLease(status.Term) && len(leads) > 0 && leads[len(leads)-1] == status.Term {
				leader = m
				return true
			}
		}
		return false
	})
	return leader
}

// proposeRegistration proposes a worker's registration to one machine after the other until
// one acknowledges it, and returns the index of the entry.
func proposeRegistration(t testing.TB, name string, machines ...*machine) uint64 {
	t.Helper()
	var index uint64
	eventually(t, "acknowledged: "+name, func() bool {
		for _, m := range machines {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			result, err := m.replica.Propose(ctx, m.replica.Status().Term, registration(name))
			cancel()
			if err == nil {
				index = result.Index
				return true
			}
		}
		return false
	})
	return index
}

// registration returns a command that registers one worker.
func registration(name string) record.Command {
	return record.Command{RegisterWorkers: &record.RegisterWorkers{Workers: []record.Worker{{Name: name, ID: name + "-1"}}}}
}

// workerNames returns the names of the workers in a replica's record after a read barrier.
func workerNames(t testing.TB, m *machine) []string {
	t.Helper()
	eventually(t, "read barrier on "+m.name, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return m.replica.ReadBarrier(ctx) == nil
	})
	var names []string
	m.replica.Record().Read(func(view record.View) {
		for worker := range view.Workers() {
			names = append(names, worker.Name)
		}
	})
	return names
}

func voterIDs(m *machine) map[raft.ReplicaID]bool {
	ids := make(map[raft.ReplicaID]bool)
	for _, voter := range m.replica.Status().Membership.Voters {
		ids[voter.ID] = true
	}
	return ids
}

func startAll(machines []*machine) {
	for _, m := range machines {
		m.start()
	}
}

// without returns a copy of machines that lacks the excluded ones.
func without(machines []*machine, excluded ...*machine) []*machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m *machine) bool { return slices.Contains(excluded, m) })
}

func workerNameRange(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("worker-%03d", i)
	}
	return names
}

func isVoter(observer, subject *machine) bool { return voterIDs(observer)[subject.replica.self.id] }

func isLearner(observer, subject *machine) bool {
	return indexOf(observer.replica.Status().Membership.Learners, subject.replica.self.id) >= 0
}
