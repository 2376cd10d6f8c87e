package fleet

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
)

// Wipe deletes the data folder of a scheduler that is not running.
func (f *Fleet) Wipe(scheduler *Process) error {
	if scheduler.PID() != 0 || scheduler.Spec.Role != deployment.RoleScheduler {
		return fmt.Errorf("wipe %s: process is running or is not a scheduler", scheduler.Spec.Name)
	}
	if err := os.RemoveAll(f.layout.data(scheduler.Spec.Name)); err != nil {
		return fmt.Errorf("wipe %s: %w", scheduler.Spec.Name, err)
	}
	scheduler.recordFault(calllog.ActionWipe, true)
	return nil
}

// ReplicaID returns the replica id that the members API reports for a scheduler; empty if
// the scheduler is not a voter.
func (f *Fleet) ReplicaID(ctx context.Context, scheduler *Process) (string, error) {
	members, err := f.client.Members(ctx)
	if err != nil {
		return "", fmt.Errorf("read the members: %w", err)
	}
	for _, member := range members.Members {
		if member.Name == scheduler.Spec.Name && member.Voter {
			return member.ReplicaID, nil
		}
	}
	return "", nil
}

// WaitJoined waits until the members API reports the scheduler as a voter with a replica
// id other than old, the id that it had before it lost its data.
func (f *Fleet) WaitJoined(ctx context.Context, scheduler *Process, old string) error {
	shown := ""
	err := waitUntil(ctx, func() bool {
		id, err := f.ReplicaID(ctx, scheduler)
		shown = id
		return err == nil && id != "" && id != old
	})
	if err != nil {
		return fmt.Errorf("wait for %s to be a voter with a new replica id: got %q, lost %q: %w", scheduler.Spec.Name, shown, old, err)
	}
	scheduler.recordFault(calllog.ActionJoined, true)
	return nil
}

// SetClock sets the offset that a running scheduler adds to its wall clock, by rewriting its
// settings file.
func (f *Fleet) SetClock(scheduler *Process, offset time.Duration) error {
	choices := f.fleetSettings(scheduler.Spec)
	choices.clockOffset = offset
	if err := f.layout.writeSettings(scheduler.Spec, choices); err != nil {
		return err
	}
	now := monoclock.Now()
	f.config.CallLog.Add(calllog.Entry{
		Kind: calllog.KindFault, Sent: now, Answered: now, Process: scheduler.Spec.Name,
		Action: calllog.ActionClock, Offset: offset, Expected: true,
	})
	return nil
}

// WaitCaughtUp waits until a scheduler has replicated all log entries that were committed
// when the wait began.
func (f *Fleet) WaitCaughtUp(ctx context.Context, scheduler *Process) error {
	var committed, matched uint64
	err := waitUntil(ctx, func() bool {
		members, err := f.client.Members(ctx)
		if err != nil {
			return false
		}
		if committed == 0 {
			committed = members.CommitIndex
		}
		for _, member := range members.Members {
			if member.Name == scheduler.Spec.Name {
				matched = member.Matched
			}
		}
		return committed > 0 && matched >= committed
	})
	if err != nil {
		return fmt.Errorf("%s has replicated the log up to index %d of %d: %w", scheduler.Spec.Name, matched, committed, err)
	}
	return nil
}
