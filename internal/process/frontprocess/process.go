package frontprocess

import (
	"context"
	"fmt"
	"time"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/front"
	"github.com/decklever/decklever/internal/process"
	"github.com/decklever/decklever/internal/settings"
)

// Program is the name of the front's program.
const Program = "decklever-front"

// Process is a front with all its components.
type Process struct {
	*process.LeaderClientBase[settings.Front]
	// Front serves the HTTP interface; an embedding program may call its methods directly.
	Front *front.Front
}

// New creates a Process. Run starts it.
func New(initial settings.Front, options settings.LoadOptions) (*Process, error) {
	p := &Process{}
	base, err := process.NewLeaderClientBase(process.LeaderClientConfig[settings.Front]{
		BaseConfig: process.BaseConfig[settings.Front]{
			Program: Program,
			Initial: initial,
			Options: options,
			Common:  func(s *settings.Front) *settings.Common { return &s.Common },
			Apply:   func(changed settings.Front) { p.Front.Apply(liveSettings(changed)) },
		},
		Role: "front",
		// The context of each attempt sets a shorter bound.
		CallTimeout: front.MaxAttemptDuration + time.Second,
	})
	if err != nil {
		return nil, err
	}
	p.LeaderClientBase = base
	p.Front, err = front.New(front.Config{
		Link:       p.Leader,
		Client:     p.Client,
		Settings:   liveSettings(initial),
		Status:     p.Status(),
		Logger:     p.Logger,
		Registerer: p.Registry,
	})
	if err != nil {
		return nil, fmt.Errorf("make the front: %w", err)
	}
	return p, nil
}

// liveSettings returns the settings of the front that can change while the process runs.
func liveSettings(s settings.Front) front.Settings {
	return front.Settings{Deadline: s.Deadline.Std(), MaxInflight: s.MaxInflight}
}

// Run serves the front, and the extra listeners, until ctx ends or a signal stops the
// process.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	return p.LeaderClientBase.Run(ctx, p.Front, extra)
}
