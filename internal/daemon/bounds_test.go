package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// waitTimeout bounds each wait for a condition. It is far above what a passing test needs.
const waitTimeout = 60 * time.Second

// dial opens a connection and sends nothing on it. closed is closed once the daemon has
// closed the connection.
func dial(t *testing.T, address string) (connection net.Conn, closed <-chan struct{}) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(io.Discard, connection)
	}()
	return connection, done
}

func waitClosed(t *testing.T, condition string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatalf("time-out after %v waiting until %s", waitTimeout, condition)
	}
}

// Connections that send nothing must not lock out callers: at the limit, a new connection
// replaces the one that has been idle for longest.
func TestConnections_LimitClosesLongestIdle(t *testing.T) {
	const limit = 4
	d := startDaemon(t, Config{Handler: http.NotFoundHandler(), MaxConnections: limit, ReadHeaderTimeout: waitTimeout})
	var closed []<-chan struct{}
	for range 2 * limit {
		_, end := dial(t, d.address)
		closed = append(closed, end)
	}
	if got := <-get(d.address); got != http.StatusNotFound {
		t.Errorf("request at the limit of idle connections: got status %d, want 404", got)
	}
	for _, end := range closed[:limit+1] { // the request replaced one more connection
		waitClosed(t, "the connections idle for longest are closed", end)
	}
	for i, end := range closed[limit+1:] {
		select {
		case <-end:
			t.Errorf("connection %d is within the limit: got closed, want open", limit+1+i)
		default:
		}
	}
	d.stop()
	if err := <-d.result; err != nil {
		t.Fatal(err)
	}
}

// A keep-alive connection between two requests counts as idle: at the limit a new
// connection replaces it.
func TestConnections_KeepAliveIsClosedAtLimit(t *testing.T) {
	d := startDaemon(t, Config{Handler: http.NotFoundHandler(), MaxConnections: 1})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	response, err := client.Get("http://" + d.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	// The server may not have set the connection to idle yet; until it does, it refuses
	// the new one.
	for deadline := time.Now().Add(waitTimeout); <-get(d.address) != http.StatusNotFound; {
		if time.Now().After(deadline) {
			t.Fatal("new connection refused while the only open one is idle, want the idle one closed")
		}
	}
}

// A connection with a request in progress is never closed for a new connection.
func TestConnections_LimitRefusesNewWhileRequestsRun(t *testing.T) {
	const limit = 2
	entered, release := make(chan struct{}, limit), make(chan struct{})
	d := startDaemon(t, Config{MaxConnections: limit, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})})
	var statuses []<-chan int
	for range limit {
		statuses = append(statuses, get(d.address))
		<-entered
	}
	for range 3 {
		if got := <-get(d.address); got != 0 {
			t.Errorf("request beyond the limit: got status %d, want no response", got)
		}
	}
	close(release)
	for _, status := range statuses {
		if got := <-status; got != http.StatusOK {
			t.Errorf("request in progress: got status %d, want 200", got)
		}
	}
}

// A caller that does not read its response must not block the handler for longer than
// WriteTimeout.
func TestWriteTimeout_UnreadResponseEndsRequest(t *testing.T) {
	returned := make(chan struct{})
	d := startDaemon(t, Config{WriteTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		chunk := make([]byte, 1<<20)
		for range 1024 { // 1 GiB, more than the socket buffers take
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
		t.Error("handler wrote the complete response to a caller that does not read, want a write error")
	})})
	connection, err := new(net.Dialer).DialContext(context.Background(), "tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	waitClosed(t, "the handler returns", returned)
}
