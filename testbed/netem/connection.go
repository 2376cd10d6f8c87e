package netem

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the maximum size of one forwarded chunk of data.
	chunkBytes  = 32 << 10
	dialTimeout = 2 * time.Second
)

// connection is one forwarded connection. link is the direction from the process that
// opened it to the route's process. The goroutine that runs serve owns the connection.
type connection struct {
	link              Link
	forward, backward *direction
	client, server    *net.TCPConn
	// stop ends forwarding in both directions and resets the connection.
	stop context.CancelFunc
}

// serve connects an accepted connection to the route's target and forwards data until
// both directions have ended.
func (n *Network) serve(ctx context.Context, client *net.TCPConn, route Route, source string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	link := Link{From: source, To: route.Name}
	conn := &connection{
		link: link, forward: n.direction(link), backward: n.direction(Link{From: link.To, To: link.From}), client: client, stop: stop,
	}
	release := n.track(conn)
	defer release()
	if !conn.open(ctx, route.Target) {
		abort(client)
		return
	}
	closing := context.AfterFunc(ctx, func() { abort(conn.client); abort(conn.server) })
	defer closing()
	var pumps sync.WaitGroup
	pumps.Go(func() { conn.pump(ctx, conn.client, conn.server, conn.forward) })
	pumps.Go(func() { conn.pump(ctx, conn.server, conn.client, conn.backward) })
	pumps.Wait()
	_, _ = conn.client.Close(), conn.server.Close()
}

// open connects to the target and returns false if no connection was established. A
// connection opened while either direction is partitioned is never established: it
// receives nothing until the partition heals and is then reset.
func (c *connection) open(ctx context.Context, target string) bool {
	if c.forward.partitioned() || c.backward.partitioned() {
		c.forward.waitToForward(ctx)
		c.backward.waitToForward(ctx)
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return false
	}
	c.server = server.(*net.TCPConn)
	return true
}

// pump forwards data from one end to the other until the stream ends or fails. Faults
// delay the end of the stream like the data. A failure ends both directions.
func (c *connection) pump(ctx context.Context, from, to *net.TCPConn, through *direction) {
	buffer := make([]byte, chunkBytes)
	for {
		count, err := from.Read(buffer)
		if !through.waitToForward(ctx) {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				c.stop()
				return
			}
		}
		if err != nil {
			c.forwardEnd(err, to)
			return
		}
	}
}

// forwardEnd forwards the end of a stream: an EOF as a half-close, any other error as a
// reset.
func (c *connection) forwardEnd(err error, to *net.TCPConn) {
	if !isOrderlyEnd(err) || to.CloseWrite() != nil {
		c.stop()
	}
}

// abort closes a connection with a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only if the connection is already closed
	_ = conn.Close()
}
