package api

import (
	"testing"
	"time"
)

func TestConfig_WithDefaultsLeavesOriginalUnchanged(t *testing.T) {
	config := validConfig()
	full := config.WithDefaults()
	if config.Queues[0].Weight != 0 || full.Queues[0].Weight != 1 || full.Queues[0].DefaultAllowedFailures != 3 {
		t.Fatalf("got original queue %+v, copy %+v, want weight 0, and weight 1 with 3 allowed failures", config.Queues[0], full.Queues[0])
	}
	if full.Timings.Hold != Duration(3*time.Second) || full.Limits.MaxJobBytes != 1<<20 {
		t.Fatalf("got timings %+v, limits %+v, want a hold of 3s, jobs of 1 MiB", full.Timings, full.Limits)
	}
}

func TestBookingConfig_WithDefaults(t *testing.T) {
	config := configWithBooking()
	config.Queues[0].Bookings[0].TimeZone = ""
	full := config.WithDefaults()
	booking := full.Queues[0].Bookings[0]
	if booking.Lead != Duration(5*time.Minute) || booking.TimeZone != "UTC" || full.Timings.MaxPreemptions != 3 {
		t.Fatalf("got booking %+v, %d preemptions, want a lead of 5m in UTC, 3 preemptions", booking, full.Timings.MaxPreemptions)
	}
	if original := config.Queues[0].Bookings[0]; original.Lead != 0 || original.TimeZone != "" {
		t.Fatalf("got original booking %+v, want no lead and no time zone", original)
	}
}
