package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/decklever/decklever/internal/protocol"
)

// Label values of the metrics.
const (
	sideClient        = "client"
	sideServer        = "server"
	directionSent     = "sent"
	directionReceived = "received"
)

// Metrics counts the calls and bytes of any number of clients and servers. A nil Metrics
// counts nothing. It is safe for concurrent use.
type Metrics struct {
	calls     *prometheus.CounterVec
	bodyBytes *prometheus.CounterVec
	wireBytes *prometheus.CounterVec
}

// NewMetrics creates the counters and registers them. It fails if they are already registered.
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

// forSide returns the call counters of one side, sideClient or sideServer; nil if m is nil.
func (m *Metrics) forSide(side string) *callCounters {
	if m == nil {
		return nil
	}
	return &callCounters{metrics: m, side: side, methods: map[protocol.Method]methodCounters{}}
}

// callCounters caches the counters of each method that was called, to avoid a lookup by
// labels on each call. A nil callCounters counts nothing. It is safe for concurrent use.
type callCounters struct {
	metrics *Metrics
	side    string
	// mutex guards methods.
	mutex   sync.RWMutex
	methods map[protocol.Method]methodCounters
}

type methodCounters struct{ calls, sent, received prometheus.Counter }

// count counts one call and the bytes of the bodies that this side sent and received.
func (c *callCounters) count(method protocol.Method, sent, received int) {
	if c == nil {
		return
	}
	counters := c.forMethod(method)
	counters.calls.Inc()
	counters.sent.Add(float64(sent))
	counters.received.Add(float64(received))
}

// forMethod returns the counters of a method, and creates them on its first call.
func (c *callCounters) forMethod(method protocol.Method) methodCounters {
	c.mutex.RLock()
	counters, known := c.methods[method]
	c.mutex.RUnlock()
	if known {
		return counters
	}
	counters = methodCounters{
		calls:    c.metrics.calls.WithLabelValues(c.side, string(method)),
		sent:     c.metrics.bodyBytes.WithLabelValues(c.side, string(method), directionSent),
		received: c.metrics.bodyBytes.WithLabelValues(c.side, string(method), directionReceived),
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.methods[method] = counters
	return counters
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countingDialer wraps dial so that the bytes on its connections are counted.
func (m *Metrics) countingDialer(dial dialFunc) dialFunc {
	if m == nil {
		return dial
	}
	sent, received := m.wireBytes.WithLabelValues(directionSent), m.wireBytes.WithLabelValues(directionReceived)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConnection{Conn: connection, sent: sent, received: received}, nil
	}
}

// countingConnection is a net.Conn that counts the bytes read and written.
type countingConnection struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countingConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.received.Add(float64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(float64(count))
	return count, err
}
