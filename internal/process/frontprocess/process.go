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

// Program is the name of the product's program.
const Program = "decklever-front"

// Process is one front with all its parts.
type Process struct {
	*process.LeaderClientBase[settings.Front]
	// Front makes the calls that the HTTP interface offers.
	Front *front.Front
}

// New makes the parts and starts nothing.
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
		// The front bounds each attempt by its context.
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

func liveSettings(s settings.Front) front.Settings {
	return front.Settings{Deadline: s.Deadline.Std(), MaxInflight: s.MaxInflight}
}

// Run serves, on extra listeners too, until the context ends or a signal stops
// the process.
func (p *Process) Run(ctx context.Context, extra ...daemon.Listener) error {
	return p.LeaderClientBase.Run(ctx, p.Front, extra)
}
