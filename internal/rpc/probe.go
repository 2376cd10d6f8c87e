package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout breaks a connection whose data was not acknowledged
	// for so long: the other machine has no power, or the way there is cut.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the silence after which a connection is probed, and
	// keepAliveInterval the pause between probes; after maxKeepAliveProbes without an answer
	// it is broken.
	keepAliveIdle      = 2 * time.Second
	keepAliveInterval  = time.Second
	maxKeepAliveProbes = 2
)

// keepAliveConfig finds idle connections to machines that are gone.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: maxKeepAliveProbes}
}

// newDialer makes connections that notice soon when the other machine is gone.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// WithKeepAlive returns a listener whose connections notice soon when the other
// machine is gone. It is for connections of this fleet's own processes.
func WithKeepAlive(listener net.Listener) net.Listener { return keepAliveListener{listener} }

type keepAliveListener struct{ net.Listener }

// Accept implements net.Listener.
func (l keepAliveListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if accepted, ok := connection.(*net.TCPConn); ok && err == nil {
		setKeepAlive(accepted)
	}
	return connection, err
}

// setKeepAlive sets what it can: without it calls still have their deadlines.
func setKeepAlive(connection *net.TCPConn) {
	_ = connection.SetKeepAliveConfig(keepAliveConfig())
	if raw, err := connection.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", raw)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. A system without it serves all
// the same: calls have deadlines of their own.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
