package record

import (
	"errors"
	"fmt"
	"sync"
)

// ErrOutOfOrder is returned by Apply if the entry's index is not higher than that
// of the last applied entry.
var ErrOutOfOrder = errors.New("record: entry is not newer than those applied")

// DefaultMaxConfigOrders is the default of Config.MaxConfigOrders.
const DefaultMaxConfigOrders = 10000

// Config contains the settings of a Machine.
type Config struct {
	// Archive stores ended jobs. Required.
	Archive Archive
	// MaxConfigOrders is the maximum number of configuration orders whose outcomes
	// are kept; the oldest are dropped first. It must be the same on every replica.
	// Default DefaultMaxConfigOrders.
	MaxConfigOrders int
}

// Machine is the state machine of one replica, which owns it for the replica's
// lifetime. Its methods are safe for concurrent use, but Apply, Skip and Restore
// must be called by one goroutine, in the order of the log.
type Machine struct {
	archive Archive

	// mu is held for writing while an entry is applied or a snapshot is restored,
	// and while observers are called. It is held for reading while a View is in
	// use. It guards all fields below and everything that they point to.
	mu        sync.RWMutex
	state     *state
	observers []*observer
	// archiveBatch and endedJobs collect the jobs that the current entry ended.
	// Both are empty between entries.
	archiveBatch []ArchivedJob
	endedJobs    []*Job

	// expiry limits which jobs may be deleted from the archive. It is local to the
	// replica and not part of the replicated state.
	expiry archiveExpiry
}

// NewMachine returns a machine with an empty state.
func NewMachine(config Config) *Machine {
	if config.MaxConfigOrders <= 0 {
		config.MaxConfigOrders = DefaultMaxConfigOrders
	}
	return &Machine{archive: config.Archive, state: newState(config.MaxConfigOrders)}
}

// Apply applies one entry of the log. Its index must be higher than that of all
// earlier entries. Indexes may be skipped, since not every entry carries a command.
//
// A request that is no longer possible is skipped or refused in the Result; it is
// not an error. An error is fatal for the replica: the entry cannot be decoded, is
// out of order (ErrOutOfOrder), or the archive failed. The state may then contain a
// part of the entry's changes.
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

// dispatch applies the one change that the command contains.
func (m *Machine) dispatch(command *Command, result *Result) error {
	switch {
	case command.SubmitJob != nil:
		return m.applySubmitJob(command.SubmitJob, result)
	case command.CancelJobs != nil:
		return m.applyCancelJobs(command.CancelJobs)
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

// Skip records that an entry without a command was applied.
func (m *Machine) Skip(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.applied = max(m.state.applied, index)
}

// Read calls the callback under the read lock. The View must not be used after the
// callback returns.
func (m *Machine) Read(read func(View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(view{machine: m})
}
