package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os/signal"
	"sync"
	"syscall"

	"github.com/decklever/decklever/internal/daemon"
	"github.com/decklever/decklever/internal/settings"
	"github.com/decklever/decklever/internal/taskhandlers"
	"github.com/decklever/decklever/internal/telemetry"
	"github.com/decklever/decklever/worker"
)

const program = "decklever-worker"

// run runs the worker until SIGTERM or SIGINT and then drains it.
func run(ctx context.Context, initial settings.Worker, options settings.LoadOptions) (err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	level := new(slog.LevelVar)
	telemetry.SetLevel(level, initial.Log.Level)
	logger := telemetry.NewLogger(telemetry.LoggerConfig{
		Level: level, Format: initial.Log.Format, Program: program, Process: initial.Name,
	})
	services, err := taskhandlers.Services(initial.Services)
	if err != nil {
		return fmt.Errorf("%w: %w", daemon.ErrUsage, err)
	}
	config := worker.Config{
		Name:     initial.Name,
		AgentURL: initial.Agent,
		Capacity: initial.Capacity,
		Labels:   initial.Labels,
		Logger:   logger,
	}
	if initial.Journal != "" {
		journal, openErr := worker.OpenJournal(initial.Journal, logger)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, journal.Close()) }()
		config.OnStart = journal.Start
		config.OnEnd = journal.End
	}
	instance, err := worker.New(config)
	if err != nil {
		return err
	}
	for service, handler := range services {
		instance.Handle(service, handler)
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { watchSettings(ctx, initial, options, level, logger) })
	return instance.Run(ctx)
}

// watchSettings applies changes of the log level until ctx is cancelled. Other
// settings are read only at the start.
func watchSettings(ctx context.Context, initial settings.Worker, options settings.LoadOptions, level *slog.LevelVar, logger *slog.Logger) {
	err := settings.Watch(ctx, settings.WatchConfig[settings.Worker]{
		Options: options,
		Initial: initial,
		Apply:   func(changed settings.Worker) { telemetry.SetLevel(level, changed.Log.Level) },
		Logger:  logger,
	})
	if err != nil {
		logger.Error("watching the settings failed, log level changes are not applied", slog.Any("error", err))
	}
}
