// Package testnetwork implements an in-process network for tests. Its connections
// are pipes, which are not delayed by the machine's load: in a testing/synctest
// bubble, time does not advance until whatever was sent has been handled.
package testnetwork

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
)

// Network has the listeners by address. It is safe for concurrent use.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen returns a listener for connections to the address. It fails the test if the address
// has a listener.
func (n *Network) Listen(t testing.TB, address string) net.Listener {
	t.Helper()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		t.Fatalf("address %s already has a listener", address)
	}
	l := &listener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext connects to the listener at the address, as the Dialer of an rpc client. It
// returns an error if there is none, or ctx ends before the connection is accepted.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	if l == nil {
		return nil, fmt.Errorf("no listener at %s", address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.incoming <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, fmt.Errorf("listener at %s was closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener implements net.Listener and net.Addr. Its address is itself.
type listener struct {
	network   *Network
	address   string
	incoming  chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.incoming:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
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
