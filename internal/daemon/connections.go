package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections knows the open connections of the server and bounds them.
//
// Those that have not sent a byte yet are closed when the daemon stops:
// http.Server.Shutdown waits up to 5 s for such a connection, longer than a
// stop may take. No request is lost by that.
type connections struct {
	limit  int
	logger *slog.Logger

	mutex  sync.Mutex
	open   map[net.Conn]*connectionState
	count  uint64 // of changes, to tell which connection is idle for longest
	closed bool
	// refused counts connections closed for room since the last log line.
	refused  int
	loggedAt time.Time
}

// connectionState says what the server last said about a connection.
type connectionState struct {
	state http.ConnState
	since uint64
}

// roomLogInterval is the least time between two log lines about the limit.
const roomLogInterval = 10 * time.Second

func newConnections(limit int, logger *slog.Logger) *connections {
	return &connections{limit: limit, logger: logger, open: map[net.Conn]*connectionState{}}
}

// note is the server's ConnState hook.
func (c *connections) note(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
		return
	case http.StateNew:
		c.admit(connection)
	}
	if known := c.open[connection]; known != nil {
		c.count++
		known.state, known.since = state, c.count
	}
}

// admit takes a new connection in. Beyond the limit it takes the place of the
// one that is idle for longest; if every one has a request under way, the new
// one is closed.
func (c *connections) admit(connection net.Conn) {
	if c.closed {
		_ = connection.Close() // nothing was sent on it
		return
	}
	if len(c.open) >= c.limit && !c.closeIdle() {
		_ = connection.Close() // nothing was sent on it
		c.logRoom()
		return
	}
	c.open[connection] = &connectionState{}
}

// closeIdle closes the connection that is without a request for longest, and
// returns false if there is none.
func (c *connections) closeIdle() bool {
	var oldest net.Conn
	for connection, known := range c.open {
		idle := known.state == http.StateNew || known.state == http.StateIdle
		if idle && (oldest == nil || known.since < c.open[oldest].since) {
			oldest = connection
		}
	}
	if oldest == nil {
		return false
	}
	delete(c.open, oldest)
	_ = oldest.Close() // no answer is due on it
	c.logRoom()
	return true
}

// logRoom tells that the limit is met, not more often than its interval.
func (c *connections) logRoom() {
	c.refused++
	if time.Since(c.loggedAt) < roomLogInterval {
		return
	}
	c.logger.Warn("connections closed at the limit", slog.Int("limit", c.limit), slog.Int("closed", c.refused))
	c.refused, c.loggedAt = 0, time.Now()
}

// closeFresh closes the connections that have not sent a byte, and all that
// still come.
func (c *connections) closeFresh() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for connection, known := range c.open {
		if known.state == http.StateNew {
			_ = connection.Close() // nothing was sent on it
		}
	}
}
