package process

import (
	"log/slog"
	"time"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/telemetry"
)

// stoppingPart names in /readyz why a process that stops is not ready.
const stoppingPart = "shutdown"

// NewLogger returns the logger of a process, whose lines below level are left
// out.
func NewLogger(program string, common *settings.Common, level *slog.LevelVar) *slog.Logger {
	telemetry.SetLevel(level, common.Log.Level)
	return telemetry.NewLogger(telemetry.LoggerConfig{
		Level: level, Format: common.Log.Format, Program: program, Process: common.Name, Zone: common.Zone,
	})
}

// Daemon begins the configuration of a process's daemon with what all have in
// common.
func Daemon(common *settings.Common, logger *slog.Logger, health *telemetry.Health) daemon.Config {
	return daemon.Config{
		Listen:        common.Listen,
		Logger:        logger,
		Stopping:      func() { health.SetReady(stoppingPart, false, "the process is about to stop") },
		ShutdownDelay: time.Duration(common.ShutdownDelay),
		StopTimeout:   time.Duration(common.StopTimeout),
	}
}
