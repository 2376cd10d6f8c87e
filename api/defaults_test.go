package api

import (
	"testing"
	"time"
)

func TestConfig_WithDefaultsKeepsOriginal(t *testing.T) {
	config := validConfig()
	full := config.WithDefaults()
	if config.Queues[0].Weight != 0 || full.Queues[0].Weight != 1 || full.Queues[0].DefaultAllowedFailures != 3 {
		t.Fatalf("queue %+v became %+v", config.Queues[0], full.Queues[0])
	}
	if full.Timings.Hold != Duration(3*time.Second) || full.Limits.MaxJobBytes != 1<<20 {
		t.Fatalf("defaults %+v %+v", full.Timings, full.Limits)
	}
}

func TestBookingConfig_WithDefaults(t *testing.T) {
	config := bookedConfig()
	config.Queues[0].Bookings[0].TimeZone = ""
	full := config.WithDefaults()
	booking := full.Queues[0].Bookings[0]
	if booking.Lead != Duration(5*time.Minute) || booking.TimeZone != "UTC" || full.Timings.MaxPreemptions != 3 {
		t.Fatalf("defaults %+v, %d preemptions", booking, full.Timings.MaxPreemptions)
	}
	if original := config.Queues[0].Bookings[0]; original.Lead != 0 || original.TimeZone != "" {
		t.Fatalf("the original became %+v", original)
	}
}
