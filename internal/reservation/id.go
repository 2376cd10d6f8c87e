package reservation

import (
	"fmt"
	"time"
)

func windowID(queue, booking string, start time.Time) string {
	return fmt.Sprintf("%s/%s/%d", queue, booking, start.UnixMilli())
}
