package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes
	// the connection: the peer's machine is dead or unreachable.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the idle time after which a connection is probed, and
	// keepAliveInterval the time between probes. The connection is closed after
	// maxKeepAliveProbes unanswered probes.
	keepAliveIdle      = 2 * time.Second
	keepAliveInterval  = time.Second
	maxKeepAliveProbes = 2
)

// keepAliveConfig returns the settings that detect idle connections to dead machines.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: maxKeepAliveProbes}
}

// newDialer returns a dialer whose connections are closed soon after the peer's machine dies.
func newDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// WithKeepAlive returns a listener whose connections are closed soon after the peer's
// machine dies. It is for connections between decklever's own processes.
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

// setKeepAlive sets keep-alive and the user timeout of an accepted connection. Failures
// are ignored, because each call has a deadline anyway.
func setKeepAlive(connection *net.TCPConn) {
	_ = connection.SetKeepAliveConfig(keepAliveConfig())
	if raw, err := connection.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", raw)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. A failure to set the option is ignored, because
// each call has a deadline anyway.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
