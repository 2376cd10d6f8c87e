package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// emptyCell is shown in a cell without a value.
const emptyCell = "-"

// formatCell formats a value as one line of text.
func formatCell(value any) string {
	line := sanitizeLine(fmt.Sprint(value))
	if line == "" {
		return emptyCell
	}
	return line
}

// formatTime formats a time in the configured time zone, to the second.
func (a *app) formatTime(moment time.Time) string {
	if moment.IsZero() {
		return emptyCell
	}
	return moment.In(a.Location).Format(time.RFC3339)
}

// formatOptionalTime is formatTime for a time that may be absent.
func (a *app) formatOptionalTime(moment *time.Time) string {
	if moment == nil {
		return emptyCell
	}
	return a.formatTime(*moment)
}

// formatMillis formats milliseconds as a duration.
func formatMillis(count int64) string {
	return (time.Duration(count) * time.Millisecond).String()
}

// formatUsage formats the amount in use and the capacity of a resource.
func formatUsage(used, capacity int64) string { return fmt.Sprintf("%d/%d", used, capacity) }

// formatBool formats a boolean as yes or no.
func formatBool(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// formatNames formats a list for one cell.
func formatNames(list []string) string { return strings.Join(list, ",") }

// formatCount formats a count with its limit; 0 means no limit.
func formatCount(count, bound int) string {
	if bound == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d/%d", count, bound)
}

// formatResources formats the resources that are not 0 for one cell.
func formatResources(room api.Resources) string {
	var parts []string
	for _, one := range []struct {
		amount int64
		unit   string
	}{{room.CPUMillis, "m cpu"}, {room.MemoryMB, " MB"}, {room.Accelerators, " accelerators"}} {
		if one.amount != 0 {
			parts = append(parts, fmt.Sprintf("%d%s", one.amount, one.unit))
		}
	}
	return strings.Join(parts, ", ")
}
