package netem

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/decklever/decklever/internal/testaddress"
)

// testTimeout bounds waits that end much sooner if all is well.
const testTimeout = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers each line with the same line until its client is gone.
func echo(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, accepted)
				_ = accepted.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// network relays to an echo named "b"; 127.5.0.1 is "a" and 127.5.0.2 is "c".
func network(t *testing.T) (*Network, string) {
	t.Helper()
	address := testaddress.New(t)
	n, err := New(Config{
		Routes:  []Route{{Name: "b", Listen: address, Target: echo(t)}},
		Sources: map[string]string{"127.5.0.1": "a", "127.5.0.2": "c"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
	return n, address
}

// client is one connection to the echo.
type client struct {
	net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, source, address string) *client {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text+"\n"); err != nil {
		t.Fatal(err)
	}
}

// read returns the next line, or why there is none.
func (c *client) read(within time.Duration) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	line, err := c.lines.ReadString('\n')
	return strings.TrimSpace(line), err
}

func (c *client) want(t *testing.T, text string) {
	t.Helper()
	if got, err := c.read(testTimeout); err != nil || got != text {
		t.Fatalf("read %q, %v, want %q", got, err, text)
	}
}

// wantNothing fails if anything comes within a short time.
func (c *client) wantNothing(t *testing.T) {
	t.Helper()
	if got, err := c.read(50 * time.Millisecond); err == nil {
		t.Fatalf("%q came through", got)
	}
}

func TestNetwork_FaultHitsOneLinkAndEndsInOrder(t *testing.T) {
	for name, fault := range map[string]func(*Network, ...Link) func(){"cut": (*Network).Partition, "hold": (*Network).Stall} {
		for _, link := range BothDirections("a", "b") {
			t.Run(name+" from "+link.From, func(t *testing.T) {
				n, address := network(t)
				struck, other := dial(t, "127.5.0.1", address), dial(t, "127.5.0.2", address)
				struck.send(t, "0")
				struck.want(t, "0")
				first, second := fault(n, link), fault(n, link)
				struck.send(t, "1")
				struck.send(t, "2")
				other.send(t, "x")
				other.want(t, "x")
				first()
				first()
				struck.wantNothing(t)
				second()
				struck.want(t, "1")
				struck.want(t, "2")
			})
		}
	}
}

func TestPartition_NewConnectionIsNeverEstablished(t *testing.T) {
	for _, link := range BothDirections("a", "b") {
		n, address := network(t)
		heal := n.Partition(link)
		late := dial(t, "127.5.0.1", address)
		late.send(t, "1")
		late.wantNothing(t)
		heal()
		if got, err := late.read(testTimeout); err == nil {
			t.Fatalf("%q was answered to a connection begun during a cut", got)
		}
		again := dial(t, "127.5.0.1", address)
		again.send(t, "2")
		again.want(t, "2")
	}
}

func TestReorder_DataStaysInOrderOnItsConnection(t *testing.T) {
	n, address := network(t)
	end := n.Reorder(1, 20*time.Millisecond, BothDirections("a", "b")...)
	one := dial(t, "127.5.0.1", address)
	for _, line := range []string{"1", "2", "3"} {
		one.send(t, line)
	}
	for _, line := range []string{"1", "2", "3"} {
		one.want(t, line)
	}
	end()
	if d := n.direction(Link{From: "a", To: "b"}); len(d.reorderings) != 0 {
		t.Error("the crossing goes on")
	}
}

func TestReset_OnlyConnectionsOfLinkAreReset(t *testing.T) {
	n, address := network(t)
	struck, other := dial(t, "127.5.0.1", address), dial(t, "127.5.0.2", address)
	for _, one := range []*client{struck, other} {
		one.send(t, "1")
		one.want(t, "1")
	}
	if count := n.Reset(Link{From: "b", To: "a"}); count != 1 {
		t.Errorf("%d dropped, want 1", count)
	}
	if got, err := struck.read(testTimeout); err == nil {
		t.Errorf("%q came over a dropped connection", got)
	}
	other.send(t, "2")
	other.want(t, "2")
}

func TestConnection_EndIsForwardedInBothDirections(t *testing.T) {
	_, address := network(t)
	one := dial(t, "127.5.0.1", address)
	one.send(t, "1")
	if err := one.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	one.want(t, "1")
	if got, err := one.read(testTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("read %q, %v, want the end", got, err)
	}
}

func TestConnection_UnreachableTargetIsReset(t *testing.T) {
	address := testaddress.New(t)
	n, err := New(Config{Routes: []Route{{Name: "b", Listen: address, Target: testaddress.New(t)}}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // the reset came before the connection was known to be there
	}
	defer func() { _ = conn.Close() }()
	one := &client{conn, bufio.NewReader(conn)}
	if got, err := one.read(testTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %q, %v from a target that is away", got, err)
	}
}
