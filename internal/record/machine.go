package record

import (
	"errors"
	"fmt"
	"sync"
)

// ErrOutOfOrder: an entry was applied that is not after all earlier ones.
var ErrOutOfOrder = errors.New("record: entry is not newer than those applied")

// DefaultMaxConfigOrders is the default of Config.MaxConfigOrders.
const DefaultMaxConfigOrders = 10000

// Config sets up a Machine.
type Config struct {
	// Archive stores ended jobs. Required.
	Archive Archive
	// MaxConfigOrders bounds the outcomes of configuration orders that are kept;
	// the oldest are dropped first. It must be the same on every replica. Default
	// DefaultMaxConfigOrders.
	MaxConfigOrders int
}

// Machine is the state machine of one replica, which owns it for as long as it
// runs. Its methods are safe for concurrent use, but Apply, Skip and Restore
// must be called by one goroutine, in the order of the log.
type Machine struct {
	archive Archive

	// mu is held for writing while an entry is applied or a snapshot is restored,
	// and while observers are called; for reading while a View is in use. It
	// guards all fields below, and all that they point to.
	mu        sync.RWMutex
	state     *state
	observers []*observer
	// archiveBatch and endedJobs collect the jobs that the entry being applied
	// ended; both are empty between entries.
	archiveBatch []ArchivedJob
	endedJobs    []*Job

	// expiry bounds what may be dropped from the archive. It is local to the
	// replica and no part of the replicated state.
	expiry archiveExpiry
}

// NewMachine returns a machine with an empty state.
func NewMachine(config Config) *Machine {
	if config.MaxConfigOrders <= 0 {
		config.MaxConfigOrders = DefaultMaxConfigOrders
	}
	return &Machine{archive: config.Archive, state: newState(config.MaxConfigOrders)}
}

// Apply applies one entry of the log. The entry must have a higher index than all
// before; indexes may be left out, since not every entry carries a command.
//
// What a command asks for that cannot be done any more is no error but part of the
// Result. An error is fatal for the replica: the entry cannot be read, comes out
// of order (ErrOutOfOrder), or the archive failed; the state may then hold a part
// of the entry.
func (m *Machine) Apply(index uint64, data []byte) (Result, error) {
	command, err := Decode(data)
	if err != nil {
		return Result{}, fmt.Errorf("apply entry %d: %w", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.state.applied {
		return Result{}, fmt.Errorf("apply entry %d, expected one after %d: %w", index, m.state.applied, ErrOutOfOrder)
	}
	m.state.applied = index
	m.state.advanceClock(command.Time)
	result := Result{Index: index}
	if err := m.dispatch(&command, &result); err != nil {
		return Result{}, fmt.Errorf("apply entry %d: %w", index, err)
	}
	if err := m.archiveEndedJobs(); err != nil {
		return Result{}, fmt.Errorf("apply entry %d: %w", index, err)
	}
	return result, nil
}

// dispatch applies the one change that the command holds.
func (m *Machine) dispatch(command *Command, result *Result) error {
	switch {
	case command.SubmitJob != nil:
		return m.applySubmitJob(command.SubmitJob, result)
	case command.CancelJobs != nil:
		m.applyCancelJobs(command.CancelJobs)
	case command.PutConfig != nil:
		m.applyPutConfig(command.PutConfig, result)
	case command.PlaceTasks != nil:
		m.applyPlaceTasks(command.PlaceTasks, command.Token, result)
	case command.CloseRuns != nil:
		m.applyCloseRuns(command.CloseRuns)
	case command.StopRuns != nil:
		m.applyStopRuns(command.StopRuns)
	case command.RegisterWorkers != nil:
		m.applyRegisterWorkers(command.RegisterWorkers, result)
	case command.ForgetWorkers != nil:
		m.applyForgetWorkers(command.ForgetWorkers)
	case command.ExpireArchive != nil:
		return m.applyExpireArchive(command.ExpireArchive)
	case command.ReleaseWindow != nil:
		m.applyReleaseWindow(command.ReleaseWindow)
	case command.ExpandRepeats != nil:
		m.applyExpandRepeats(command.ExpandRepeats)
	case command.DrainZone != nil:
		m.applyDrainZone(command.DrainZone)
	default:
		return ErrNoCommand
	}
	return nil
}

// Skip records that an entry was applied that carries no command.
func (m *Machine) Skip(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.applied = max(m.state.applied, index)
}

// Read calls read under the read lock. The View must not be used after read
// returns.
func (m *Machine) Read(read func(View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(view{machine: m})
}
