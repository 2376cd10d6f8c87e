package record

import (
	"errors"
	"fmt"
	"sync"
)

// ErrOutOfOrder: an entry was applied that is not after all earlier ones.
var ErrOutOfOrder = errors.New("record: entry is not newer than those applied")

// DefaultMaxConfigOrders is how many outcomes of configuration orders are kept.
const DefaultMaxConfigOrders = 10000

// Config sets up a Machine.
type Config struct {
	// Archive stores ended jobs. Required.
	Archive Archive
	// MaxConfigOrders bounds the outcomes of configuration orders that are kept,
	// the oldest being dropped first. Default 10000; the same on every replica.
	MaxConfigOrders int
}

// Machine is the state machine; see doc.go. Its methods are safe for
// concurrent use, but entries must be applied by one caller in log order.
type Machine struct {
	archive Archive

	mu        sync.RWMutex
	state     *state
	observers []*observer
	// ended and endedJobs collect what the entry being applied ended.
	archiveBatch []ArchivedJob
	endedJobs    []*Job

	// expiry bounds what may be dropped from the archive; it is local to the
	// replica and no part of the replicated state.
	expiry archiveExpiry
}

// NewMachine returns an empty record.
func NewMachine(config Config) *Machine {
	if config.MaxConfigOrders <= 0 {
		config.MaxConfigOrders = DefaultMaxConfigOrders
	}
	return &Machine{archive: config.Archive, state: newState(config.MaxConfigOrders)}
}

// Apply applies one entry of the log. An error is fatal for the replica: the
// entry cannot be read, comes out of order, or the archive failed.
func (m *Machine) Apply(index uint64, data []byte) (Result, error) {
	command, err := Decode(data)
	if err != nil {
		return Result{}, fmt.Errorf("entry %d: %w", index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.state.applied {
		return Result{}, fmt.Errorf("entry %d after %d: %w", index, m.state.applied, ErrOutOfOrder)
	}
	m.state.applied = index
	m.state.advanceClock(command.Time)
	result := Result{Index: index}
	if err := m.dispatch(&command, &result); err != nil {
		return Result{}, fmt.Errorf("entry %d: %w", index, err)
	}
	if err := m.archiveEndedJobs(); err != nil {
		return Result{}, fmt.Errorf("entry %d: %w", index, err)
	}
	return result, nil
}

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

// Skip notes an entry that carries no command.
func (m *Machine) Skip(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.applied = max(m.state.applied, index)
}

// Read calls read under a read lock. The view must not be kept.
func (m *Machine) Read(read func(View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(view{machine: m})
}
