package reservation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
)

// demand is a booking that must fit, and the result of checking it.
type demand struct {
	// index is the demand's position among all demands, in the order of the
	// configuration.
	index int
	queue string
	// field is the path of the booking's number of slots in the configuration.
	field string
	// booking has its defaults filled in.
	booking  api.BookingConfig
	location *time.Location
	// shortage is the first shortage found, nil if there is none; shortageStart is the
	// start of the window at whose packing time it was found.
	shortage      *shortage
	shortageStart time.Time
}

// shortage describes a demand that does not fit completely.
type shortage struct {
	demand *demand
	// placedSlots is how many of the demand's slots fit.
	placedSlots int
	// eligible is false if no usable worker offers the booking's service and labels.
	eligible bool
}

// guaranteedDemands returns a demand for each booking that is not best effort and whose
// schedule is valid.
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

// fieldError returns the API error for the demand's shortage: when it occurs, and how
// many slots and which resources are missing.
func (d *demand) fieldError() api.FieldError {
	start := d.shortageStart.In(d.location).Format(time.RFC3339)
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

// describeSlots returns the total resources of a number of slots as text, without the
// resources that a slot does not use.
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
