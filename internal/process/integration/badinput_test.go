package integration

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

// goroutineSlack is the number of additional goroutines allowed at the end, for those of the
// Go runtime and of connections between the daemons.
const goroutineSlack = 20

// TestDaemons_RejectBadInput sends invalid, oversized, slow and unfinished requests, and too
// many connections, to each daemon. The daemon must reject the request or close the
// connection, continue to serve valid requests, and leak no goroutine.
func TestDaemons_RejectBadInput(t *testing.T) {
	targets := startDaemons(t)
	goroutinesBefore := runtime.NumGoroutine()
	for _, daemon := range targets {
		t.Run(daemon.name, func(t *testing.T) {
			for name, test := range map[string]func(*testing.T, target){
				"malformed":   malformed,
				"oversized":   oversized,
				"slow header": slowHeader,
				"slow body":   slowBody,
				"half closed": halfClosed,
				"flood":       flood,
			} {
				t.Run(name, func(t *testing.T) {
					test(t, daemon)
					wantServing(t, daemon)
				})
			}
		})
	}
	eventually(t, "no more goroutines than before the bad input", func() bool {
		return runtime.NumGoroutine() <= goroutinesBefore+goroutineSlack
	})
}

// wantServing waits until a valid request is answered. It retries, because the daemon may
// close the connection of a valid request together with those of the bad ones.
func wantServing(t *testing.T, target target) {
	t.Helper()
	err := target.sendValidRequest()
	for deadline := time.Now().Add(waitTimeout); err != nil; err = target.sendValidRequest() {
		if time.Now().After(deadline) {
			t.Fatalf("valid requests fail: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func dial(t *testing.T, target target) *net.TCPConn {
	t.Helper()
	connection, err := net.Dial("tcp", target.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if err := connection.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return connection.(*net.TCPConn)
}

// readResponse reads a response; it returns nil if the connection was closed without one.
func readResponse(t *testing.T, connection net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the daemon neither responded nor closed the connection")
	}
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// wantRejected checks that the response has a 4xx status or status 505, or that the
// connection was closed without a response (nil).
func wantRejected(t *testing.T, response *http.Response) {
	t.Helper()
	if response == nil || response.StatusCode == http.StatusHTTPVersionNotSupported {
		return
	}
	if response.StatusCode < 400 || response.StatusCode > 499 {
		t.Errorf("got status %d, want 4xx, 505 or no response", response.StatusCode)
	}
}

// withBody returns a request with the body and a Content-Length of length bytes, which may
// differ from the size of the body.
func (target target) withBody(length int, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", target.post, length, body)
}

// malformed sends requests that violate HTTP, or whose body is no valid request.
func malformed(t *testing.T, target target) {
	t.Helper()
	chunked := target.post + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	for name, request := range map[string]string{
		"no http":           "\x00\x01\x02\xff\xfe\r\n\r\n",
		"tls":               "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
		"other version":     "GET / HTTP/9.9\r\nHost: h\r\n\r\n",
		"no host":           target.post + " HTTP/1.1\r\n\r\n",
		"negative length":   target.post + " HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
		"two lengths":       target.post + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"bad header":        target.post + " HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n",
		"huge header":       target.post + " HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1<<18) + "\r\n\r\n",
		"bad chunk":         chunked + "\r\nzz\r\nx\r\n0\r\n\r\n",
		"wild chunk":        chunked + "\r\nffffffffffffffff\r\nx\r\n0\r\n\r\n",
		"no body":           target.withBody(0, ""),
		"garbage":           target.withBody(8, "\xff\xfe\x00garba"),
		"nested":            target.withBody(200_000, strings.Repeat("[", 200_000)),
		"nested objects":    target.withBody(500_000, strings.Repeat(`{"a":`, 100_000)),
		"null":              target.withBody(4, "null"),
		"nul in path":       "GET /v1/%00 HTTP/1.1\r\nHost: h\r\n\r\n",
		"path upwards":      "GET /../../etc/hosts HTTP/1.1\r\nHost: h\r\n\r\n",
		"unknown path":      "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n",
		"method of a proxy": "CONNECT other:1 HTTP/1.1\r\nHost: other:1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			connection := dial(t, target)
			_, _ = io.WriteString(connection, request) // fails if the daemon closes the connection first
			response := readResponse(t, connection)
			if response != nil && response.StatusCode/100 == 3 && response.Header.Get("Location") != "" {
				return // the router redirects to the cleaned path
			}
			wantRejected(t, response)
		})
	}
}

// oversized sends a body larger than bodyLimit, with and without a Content-Length.
func oversized(t *testing.T, target target) {
	t.Helper()
	for name, body := range map[string]io.Reader{
		"with length":    bytes.NewReader(make([]byte, bodyLimit+1)),
		"without length": io.LimitReader(zeroReader{}, bodyLimit+1),
	} {
		method, path, _ := strings.Cut(target.post, " ")
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+target.address+path, body)
		if err != nil {
			t.Fatal(err)
		}
		response, err := newHTTPClient(t).Do(request)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		message, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != target.tooLarge || !strings.Contains(string(message), fmt.Sprint(bodyLimit)) {
			t.Errorf("%s: got status %d, body %q, error %v, want status %d and a body that names the limit", name, response.StatusCode, message, err, target.tooLarge)
		}
	}
}

type zeroReader struct{}

func (zeroReader) Read(data []byte) (int, error) { return len(data), nil }

// sendSlowly sends a byte every 10 ms until the daemon closes the connection.
func sendSlowly(t *testing.T, connection net.Conn) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if _, err := connection.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the daemon did not close the connection of the slow request")
}

func slowHeader(t *testing.T, target target) {
	t.Helper()
	connection := dial(t, target)
	if _, err := io.WriteString(connection, target.post+" HTTP/1.1\r\nHost: h\r\nX-Slow: "); err != nil {
		t.Fatal(err)
	}
	sendSlowly(t, connection)
}

func slowBody(t *testing.T, target target) {
	t.Helper()
	connection := dial(t, target)
	if _, err := io.WriteString(connection, target.withBody(bodyLimit-1, "")); err != nil {
		t.Fatal(err)
	}
	sendSlowly(t, connection)
}

// halfClosed closes the sending direction of the connection in the middle of a request and
// after a complete request.
func halfClosed(t *testing.T, target target) {
	t.Helper()
	for name, request := range map[string]string{
		"nothing":          "",
		"half a header":    target.post + " HTTP/1.1\r\nHos",
		"half a body":      target.withBody(100, `{"queue":`),
		"half a chunk":     target.post + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n{",
		"complete garbage": target.withBody(1, "x"),
	} {
		t.Run(name, func(t *testing.T) {
			connection := dial(t, target)
			if _, err := io.WriteString(connection, request); err != nil {
				t.Fatal(err)
			}
			if err := connection.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			wantRejected(t, readResponse(t, connection))
			if _, err := io.Copy(io.Discard, connection); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the daemon did not close the half-closed connection")
			}
		})
	}
}

// flood opens three times as many connections as allowed and sends nothing on them. The
// daemon must still serve valid requests, closing idle connections for them, and must close
// all idle connections in the end.
func flood(t *testing.T, target target) {
	t.Helper()
	const connections = 3 * connectionLimit
	closed := make(chan struct{}, connections)
	for range connections {
		connection := dial(t, target)
		go func() {
			_, _ = connection.Read(make([]byte, 1)) // returns when the daemon closes the connection
			closed <- struct{}{}
		}()
	}
	wantServing(t, target)
	for range connections { // the last ones are closed by ReadHeaderTimeout
		select {
		case <-closed:
		case <-time.After(waitTimeout):
			t.Fatal("the daemon did not close the idle connections")
		}
	}
}
