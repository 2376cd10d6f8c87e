package record

import "time"

// Millis is cluster time in Unix milliseconds, or a span of it.
type Millis int64

// MillisOf converts a span to milliseconds, rounded towards zero.
func MillisOf(span time.Duration) Millis { return Millis(span.Milliseconds()) }

// Time returns the value as a time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }
