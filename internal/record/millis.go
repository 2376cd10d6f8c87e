package record

import "time"

// Millis is a point in cluster time in Unix milliseconds, or a duration in
// milliseconds.
type Millis int64

// MillisOf converts a duration to milliseconds, rounded towards zero.
func MillisOf(span time.Duration) Millis { return Millis(span.Milliseconds()) }

// Time returns the value as a time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }
