package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// emptyCell stands in a cell that has no value.
const emptyCell = "-"

// formatCell is a value as text of one line.
func formatCell(value any) string {
	line := sanitizeLine(fmt.Sprint(value))
	if line == "" {
		return emptyCell
	}
	return line
}

// formatTime is a time in the zone of tables, to the second.
func (a *app) formatTime(moment time.Time) string {
	if moment.IsZero() {
		return emptyCell
	}
	return moment.In(a.Location).Format(time.RFC3339)
}

// formatOptionalTime is clock for a time that may be absent.
func (a *app) formatOptionalTime(moment *time.Time) string {
	if moment == nil {
		return emptyCell
	}
	return a.formatTime(*moment)
}

// formatMillis is a span of milliseconds with its unit.
func formatMillis(count int64) string {
	return (time.Duration(count) * time.Millisecond).String()
}

// formatUsage is an amount of room in use and in all.
func formatUsage(used, capacity int64) string { return fmt.Sprintf("%d/%d", used, capacity) }

// formatBool is a truth value for people.
func formatBool(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// formatNames is a list in one cell.
func formatNames(list []string) string { return strings.Join(list, ",") }

// formatCount is a count with its bound, if it has one.
func formatCount(count, bound int) string {
	if bound == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d/%d", count, bound)
}

// formatResources is an amount of room in one cell; what there is none of is left
// out.
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
