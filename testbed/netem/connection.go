package netem

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes bounds what is passed on at once.
	chunkBytes  = 32 << 10
	dialTimeout = 2 * time.Second
)

// connection is one relayed connection: link is the direction from the process
// that opened it.
type connection struct {
	link              Link
	forward, backward *direction
	client, server    *net.TCPConn
	// stop ends both pumps.
	stop context.CancelFunc
}

// serve relays until both directions have ended.
func (n *Network) serve(ctx context.Context, client *net.TCPConn, route Route, source string) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	link := Link{From: source, To: route.Name}
	one := &connection{
		link: link, forward: n.direction(link), backward: n.direction(Link{From: link.To, To: link.From}), client: client, stop: stop,
	}
	release := n.track(one)
	defer release()
	if !one.open(ctx, route.Target) {
		abort(client)
		return
	}
	closing := context.AfterFunc(ctx, func() { abort(one.client); abort(one.server) })
	defer closing()
	var pumps sync.WaitGroup
	pumps.Go(func() { one.pump(ctx, one.client, one.server, one.forward) })
	pumps.Go(func() { one.pump(ctx, one.server, one.client, one.backward) })
	pumps.Wait()
	_, _ = one.client.Close(), one.server.Close()
}

// open connects to the target. A connection that is begun while either
// direction is cut never comes about: it stays without an answer until the cut
// ends and is dropped then.
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

// pump passes on what comes from one end to the other. The end of the stream
// takes the same way as the data. A failure ends both directions.
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

// forwardEnd passes on the end of a stream: an orderly one as such, another as a
// reset.
func (c *connection) forwardEnd(err error, to *net.TCPConn) {
	if !isOrderlyEnd(err) || to.CloseWrite() != nil {
		c.stop()
	}
}

// abort closes a connection with a reset.
func abort(one *net.TCPConn) {
	_ = one.SetLinger(0) // fails only if it is closed already
	_ = one.Close()
}
