// Package testnetwork connects the parts of a test inside its process. Its
// connections are pipes, which no machine's load delays: in a bubble of
// testing/synctest, time stands still until whatever was sent has been handled.
package testnetwork

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
)

// Network knows who listens. It is safe for use by many goroutines.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
}

// New returns a network on which nobody listens.
func New() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen takes connections to the address until the listener is closed.
func (n *Network) Listen(t testing.TB, address string) net.Listener {
	t.Helper()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		t.Fatalf("%s is listened on already", address)
	}
	l := &listener{network: n, address: address, dialed: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext is the Dialer of an rpc client.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	if l == nil {
		return nil, fmt.Errorf("nobody listens on %s", address)
	}
	near, far := net.Pipe()
	select {
	case l.dialed <- far:
		return near, nil
	case <-l.closed:
		return nil, fmt.Errorf("nobody listens on %s any longer", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener is also its own address.
type listener struct {
	network *Network
	address string
	dialed  chan net.Conn
	closing sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.dialed:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closing.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l }

// Network implements net.Addr.
func (l *listener) Network() string { return "pipe" }

// String implements net.Addr.
func (l *listener) String() string { return l.address }
