package rpc

import (
	"context"
	"fmt"
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/fleet"
)

// Label values of the metrics.
const (
	sideClient        = "client"
	sideServer        = "server"
	directionSent     = "sent"
	directionReceived = "received"
)

// Metrics counts the messages and bytes of any number of clients and servers.
// A nil Metrics counts nothing.
type Metrics struct {
	calls     *prometheus.CounterVec
	bodyBytes *prometheus.CounterVec
	wireBytes *prometheus.CounterVec
}

// NewMetrics registers the counters with registerer.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		options := prometheus.CounterOpts{Namespace: "decklever", Subsystem: "rpc", Name: name, Help: help}
		return prometheus.NewCounterVec(options, labels)
	}
	m := &Metrics{
		calls:     counter("calls_total", "Calls made (client) or served (server), by method.", "side", "method"),
		bodyBytes: counter("body_bytes_total", "Bytes of bodies, without headers.", "side", "method", "direction"),
		wireBytes: counter("wire_bytes_total", "Bytes on the connections that clients opened, headers included.", "direction"),
	}
	for _, collector := range []prometheus.Collector{m.calls, m.bodyBytes, m.wireBytes} {
		if err := registerer.Register(collector); err != nil {
			return nil, fmt.Errorf("register rpc metrics: %w", err)
		}
	}
	return m, nil
}

// count notes one call with the bodies that this side sent and received.
func (m *Metrics) count(side string, method fleet.Method, sent, received int) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues(side, string(method)).Inc()
	m.bodyBytes.WithLabelValues(side, string(method), directionSent).Add(float64(sent))
	m.bodyBytes.WithLabelValues(side, string(method), directionReceived).Add(float64(received))
}

// dialFunc makes a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns dial with its connections counted.
func (m *Metrics) dialer(dial dialFunc) dialFunc {
	if m == nil {
		return dial
	}
	sent, received := m.wireBytes.WithLabelValues(directionSent), m.wireBytes.WithLabelValues(directionReceived)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection, sent: sent, received: received}, nil
	}
}

// countedConnection counts what passes over it.
type countedConnection struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.received.Add(float64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(float64(count))
	return count, err
}
