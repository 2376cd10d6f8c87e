package record

import "time"

// Millis is cluster time in Unix milliseconds.
type Millis int64

// MillisOf is a span in the unit of cluster time.
func MillisOf(span time.Duration) Millis { return Millis(span.Milliseconds()) }

// Time returns the value as a time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }
