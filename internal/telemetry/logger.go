package telemetry

import (
	"io"
	"log/slog"
	"os"
)

// Values of LoggerConfig.Format.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// LoggerConfig configures a logger.
type LoggerConfig struct {
	// Output receives the log lines. Default: standard error.
	Output io.Writer
	// Level is the lowest level that is logged; it may be changed while the logger is in
	// use. Default: info.
	Level *slog.LevelVar
	// Format is FormatText or FormatJSON. Default: FormatText.
	Format string
	// Program, Process and Zone are attributes of each line, unless they are empty.
	Program, Process, Zone string
}

// NewLogger returns a structured logger.
func NewLogger(config LoggerConfig) *slog.Logger {
	if config.Output == nil {
		config.Output = os.Stderr
	}
	if config.Level == nil {
		config.Level = new(slog.LevelVar)
	}
	return slog.New(newHandler(config).WithAttrs(originOf(config)))
}

func newHandler(config LoggerConfig) slog.Handler {
	options := &slog.HandlerOptions{Level: config.Level}
	if config.Format == FormatJSON {
		return slog.NewJSONHandler(config.Output, options)
	}
	return slog.NewTextHandler(config.Output, options)
}

// originOf returns the attributes that distinguish the lines of one process from another's.
func originOf(config LoggerConfig) []slog.Attr {
	var origin []slog.Attr
	for _, field := range []slog.Attr{
		slog.String("program", config.Program),
		slog.String("process", config.Process),
		slog.String("zone", config.Zone),
	} {
		if field.Value.String() != "" {
			origin = append(origin, field)
		}
	}
	return origin
}

// SetLevel sets the level to the one with the name, which the settings have validated. An
// unknown name changes nothing.
func SetLevel(level *slog.LevelVar, name string) {
	var changed slog.Level
	if err := changed.UnmarshalText([]byte(name)); err == nil {
		level.Set(changed)
	}
}
