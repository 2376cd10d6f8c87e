package daemon

import (
	"net"
	"net/http"
	"sync"
)

// freshConnections knows the connections that have not sent a byte yet.
// http.Server.Shutdown waits up to 5 s for such a connection, longer than a
// stop may take, so they are closed before. No request is lost by that.
type freshConnections struct {
	mutex  sync.Mutex
	fresh  map[net.Conn]struct{}
	closed bool
}

func newFreshConnections() *freshConnections {
	return &freshConnections{fresh: map[net.Conn]struct{}{}}
}

// note is the server's ConnState hook.
func (f *freshConnections) note(connection net.Conn, state http.ConnState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if state != http.StateNew {
		delete(f.fresh, connection)
		return
	}
	if f.closed {
		_ = connection.Close() // nothing was sent on it
		return
	}
	f.fresh[connection] = struct{}{}
}

// close closes the fresh connections and all that still come.
func (f *freshConnections) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	for connection := range f.fresh {
		_ = connection.Close() // nothing was sent on it
	}
}
