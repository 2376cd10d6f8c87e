package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// emptyCell is the text of a table cell without a value.
const emptyCell = "-"

// formatCell formats a value as one line of text.
func formatCell(value any) string {
	line := sanitizeLine(fmt.Sprint(value))
	if line == "" {
		return emptyCell
	}
	return line
}

// formatTime formats a time in Config.Location with a precision of one second;
// the zero time is an empty cell.
func (a *app) formatTime(moment time.Time) string {
	if moment.IsZero() {
		return emptyCell
	}
	return moment.In(a.Location).Format(time.RFC3339)
}

// formatOptionalTime is like formatTime; nil is an empty cell as well.
func (a *app) formatOptionalTime(moment *time.Time) string {
	if moment == nil {
		return emptyCell
	}
	return a.formatTime(*moment)
}

// formatMillis formats a number of milliseconds as a duration.
func formatMillis(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).String()
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

// formatNames formats a list as comma-separated text for one cell.
func formatNames(list []string) string { return strings.Join(list, ",") }

// formatCount formats a count with its limit; 0 means no limit.
func formatCount(count, limit int) string {
	if limit == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d/%d", count, limit)
}

// formatResources formats the non-zero resources for one cell.
func formatResources(resources api.Resources) string {
	var parts []string
	for _, resource := range []struct {
		amount int64
		unit   string
	}{{resources.CPUMillis, "m cpu"}, {resources.MemoryMB, " MB"}, {resources.Accelerators, " accelerators"}} {
		if resource.amount != 0 {
			parts = append(parts, fmt.Sprintf("%d%s", resource.amount, resource.unit))
		}
	}
	return strings.Join(parts, ", ")
}
