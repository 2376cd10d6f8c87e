package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout closes a connection whose data was not acknowledged for so long: the
	// other machine is dead, or cut off by a partition.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time after which a connection is probed, and
	// keepAliveInterval the time between probes. After maxKeepAliveProbes without an
	// answer the connection is closed.
	keepAliveIdle      = 2 * time.Second
	keepAliveInterval  = time.Second
	maxKeepAliveProbes = 2
)

// keepAliveConfig finds idle connections to machines that are dead.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: maxKeepAliveProbes}
}

// newDialer returns a dialer whose connections notice soon that the other machine is dead.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// WithKeepAlive returns a listener whose connections notice soon that the other machine
// is dead. It is for connections between decklever's own processes.
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

// setKeepAlive sets up an accepted connection. Failures are ignored, as calls have
// deadlines of their own.
func setKeepAlive(connection *net.TCPConn) {
	_ = connection.SetKeepAliveConfig(keepAliveConfig())
	if raw, err := connection.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", raw)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. Failures are ignored, as calls have deadlines of
// their own.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
