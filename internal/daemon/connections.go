package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the open connections of all servers of a daemon and limits their
// number.
//
// When the daemon stops, it closes the connections that have not sent a byte yet:
// http.Server.Shutdown waits up to 5 s for such a connection, which may be longer than
// StopTimeout. No request is lost that way.
type connections struct {
	limit  int // open connections
	logger *slog.Logger

	mutex        sync.Mutex // guards the fields below
	open         map[net.Conn]*connectionState
	stateChanges uint64 // total, the source of connectionState.changeNumber
	stopping     bool
	// closedAtLimit is the number of connections closed because of the limit since
	// loggedAt, the time of the last log line about it.
	closedAtLimit int
	loggedAt      time.Time
}

// connectionState is the last state that the server reported for a connection.
// changeNumber orders the changes: of two idle connections, the one with the lower number
// has been idle for longer.
type connectionState struct {
	state        http.ConnState
	changeNumber uint64
}

// limitLogInterval is the minimum time between two log lines about the limit.
const limitLogInterval = 10 * time.Second

func newConnections(limit int, logger *slog.Logger) *connections {
	return &connections{limit: limit, logger: logger, open: map[net.Conn]*connectionState{}}
}

// onStateChange is the ConnState hook of the servers.
func (c *connections) onStateChange(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
		return
	case http.StateNew:
		c.admit(connection)
	}
	if entry := c.open[connection]; entry != nil {
		c.stateChanges++
		entry.state, entry.changeNumber = state, c.stateChanges
	}
}

// admit tracks a new connection. At the limit it first closes the connection idle for
// longest; if every connection has a request in progress, it closes the new one instead.
// The caller must hold the mutex.
func (c *connections) admit(connection net.Conn) {
	if c.stopping {
		_ = connection.Close() // nothing was sent on it
		return
	}
	if len(c.open) >= c.limit && !c.closeLongestIdle() {
		_ = connection.Close() // nothing was sent on it
		c.logLimitReached()
		return
	}
	c.open[connection] = &connectionState{}
}

// closeLongestIdle closes the connection that has been without a request for longest. It
// returns false if every connection has a request in progress. The caller must hold the mutex.
func (c *connections) closeLongestIdle() bool {
	var oldest net.Conn
	for connection, entry := range c.open {
		idle := entry.state == http.StateNew || entry.state == http.StateIdle
		if idle && (oldest == nil || entry.changeNumber < c.open[oldest].changeNumber) {
			oldest = connection
		}
	}
	if oldest == nil {
		return false
	}
	delete(c.open, oldest)
	_ = oldest.Close() // no response is pending on it
	c.logLimitReached()
	return true
}

// logLimitReached counts a connection closed at the limit and logs the count, at most once
// per limitLogInterval. The caller must hold the mutex.
func (c *connections) logLimitReached() {
	c.closedAtLimit++
	if time.Since(c.loggedAt) < limitLogInterval {
		return
	}
	c.logger.Warn("connections closed at the limit", slog.Int("limit", c.limit), slog.Int("closed", c.closedAtLimit))
	c.closedAtLimit, c.loggedAt = 0, time.Now()
}

// closeNew closes the connections that have not sent a byte yet, and makes admit close all
// further ones.
func (c *connections) closeNew() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping = true
	for connection, entry := range c.open {
		if entry.state == http.StateNew {
			_ = connection.Close() // nothing was sent on it
		}
	}
}
