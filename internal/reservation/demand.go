package reservation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// demand is a booking that must fit, with the outcome of the check.
type demand struct {
	// index is its position among the demands, which have the order of the
	// configuration.
	index int
	queue string
	// field is the path of its number of slots in the configuration.
	field    string
	booking  api.BookingConfig
	location *time.Location
	// shortage is the first shortage found, nil while there is none; shortAt is the
	// start of the window in which it was found.
	shortage *shortage
	shortAt  time.Time
}

// shortage says that a demand does not fit completely.
type shortage struct {
	demand *demand
	// placedSlots is how many of its slots fit.
	placedSlots int
	// eligible is false if no usable worker offers the service and labels.
	eligible bool
}

// guaranteedDemands lists the bookings that are not best effort.
func guaranteedDemands(config *api.Config) []*demand {
	var demands []*demand
	for queueIndex, queue := range config.Queues {
		for index := range queue.Bookings {
			booking := queue.Bookings[index].WithDefaults()
			schedule, err := booking.Schedule()
			if err != nil || booking.BestEffort {
				continue
			}
			demands = append(demands, &demand{
				index:    len(demands),
				queue:    queue.Name,
				field:    fmt.Sprintf("queues[%d].bookings[%d].slots", queueIndex, index),
				booking:  booking,
				location: schedule.Location(),
			})
		}
	}
	return demands
}

// fieldError says in the words of the API when and of what the demand is short.
func (d *demand) fieldError() api.FieldError {
	start := d.shortAt.In(d.location).Format(time.RFC3339)
	expected := fmt.Sprintf("room at %s: %d slots, %d fit", start, d.booking.Slots, d.shortage.placedSlots)
	if !d.shortage.eligible {
		expected += "; no registered worker that is not drained offers its service and labels"
	}
	missingSlots := int64(d.booking.Slots - d.shortage.placedSlots)
	return api.FieldError{
		Field:    d.field,
		Value:    strconv.Itoa(d.booking.Slots),
		Expected: expected + "; short " + describeSlots(d.booking.Slice, missingSlots),
	}
}

// describeSlots lists the resources of a number of slots, without those that a slot
// does not take.
func describeSlots(slot api.Resources, count int64) string {
	var parts []string
	for _, resource := range []struct {
		name   string
		amount int64
	}{
		{"cpu_millis", slot.CPUMillis},
		{"memory_mb", slot.MemoryMB},
		{"accelerators", slot.Accelerators},
	} {
		if resource.amount > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", resource.amount*count, resource.name))
		}
	}
	return strings.Join(parts, ", ")
}
