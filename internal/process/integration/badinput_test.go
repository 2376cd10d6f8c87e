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

// goroutineSlack is for goroutines of the runtime, and of connections that the
// fleet makes for itself.
const goroutineSlack = 20

// TestDaemons_RejectBadInput sends each daemon what no client sends. Each rejects or cuts
// it off, goes on with ordinary requests, and keeps nothing of it.
func TestDaemons_RejectBadInput(t *testing.T) {
	targets := startDaemons(t)
	base := runtime.NumGoroutine()
	for _, attacked := range targets {
		t.Run(attacked.name, func(t *testing.T) {
			for name, test := range map[string]func(*testing.T, target){
				"malformed":   malformed,
				"oversized":   oversized,
				"slow header": slowHeader,
				"slow body":   slowBody,
				"half closed": halfClosed,
				"flood":       flood,
			} {
				t.Run(name, func(t *testing.T) {
					test(t, attacked)
					wantServing(t, attacked)
				})
			}
		})
	}
	eventually(t, "the goroutines are as many as before", func() bool {
		return runtime.NumGoroutine() <= base+goroutineSlack
	})
}

// wantServing waits until an ordinary request gets its answer: one may be cut
// off with the connections around it.
func wantServing(t *testing.T, target target) {
	t.Helper()
	err := target.ordinary()
	for deadline := time.Now().Add(waitTimeout); err != nil; err = target.ordinary() {
		if time.Now().After(deadline) {
			t.Fatalf("ordinary requests fail: %v", err)
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

// answerOn reads an answer; nil if the connection was closed without one.
func answerOn(t *testing.T, connection net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("neither answered nor closed")
	}
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// wantRefused wants a status that blames the sender, or the connection closed
// without answer.
func wantRefused(t *testing.T, response *http.Response) {
	t.Helper()
	if response == nil || response.StatusCode == http.StatusHTTPVersionNotSupported {
		return
	}
	if response.StatusCode < 400 || response.StatusCode > 499 {
		t.Errorf("status %d, want 4xx or none", response.StatusCode)
	}
}

// withBody is a request whose header promises length bytes.
func (target target) withBody(length int, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", target.post, length, body)
}

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
			_, _ = io.WriteString(connection, request) // may be cut off meanwhile
			response := answerOn(t, connection)
			if response != nil && response.StatusCode/100 == 3 && response.Header.Get("Location") != "" {
				return // the router names the path without its detour
			}
			wantRefused(t, response)
		})
	}
}

// oversized sends a body of more than the limit, with and without its length.
func oversized(t *testing.T, target target) {
	t.Helper()
	for name, body := range map[string]io.Reader{
		"with its length": bytes.NewReader(make([]byte, bodyLimit+1)),
		"without":         io.LimitReader(zeros{}, bodyLimit+1),
	} {
		method, path, _ := strings.Cut(target.post, " ")
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+target.address+path, body)
		if err != nil {
			t.Fatal(err)
		}
		response, err := clientOf(t).Do(request)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		said, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != target.tooLarge || !strings.Contains(string(said), fmt.Sprint(bodyLimit)) {
			t.Errorf("%s: status %d, %q, %v: want status %d that names the limit", name, response.StatusCode, said, err, target.tooLarge)
		}
	}
}

type zeros struct{}

func (zeros) Read(data []byte) (int, error) { return len(data), nil }

// trickle sends a byte at a time until the connection is cut off.
func trickle(t *testing.T, connection net.Conn) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if _, err := connection.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the slow request was not cut off")
}

func slowHeader(t *testing.T, target target) {
	t.Helper()
	connection := dial(t, target)
	if _, err := io.WriteString(connection, target.post+" HTTP/1.1\r\nHost: h\r\nX-Slow: "); err != nil {
		t.Fatal(err)
	}
	trickle(t, connection)
}

func slowBody(t *testing.T, target target) {
	t.Helper()
	connection := dial(t, target)
	if _, err := io.WriteString(connection, target.withBody(bodyLimit-1, "")); err != nil {
		t.Fatal(err)
	}
	trickle(t, connection)
}

// halfClosed sends the end of the stream in the middle of a request and behind
// a whole one.
func halfClosed(t *testing.T, target target) {
	t.Helper()
	for name, request := range map[string]string{
		"nothing":          "",
		"half a header":    target.post + " HTTP/1.1\r\nHos",
		"half a body":      target.withBody(100, `{"queue":`),
		"half a chunk":     target.post + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n{",
		"a whole, garbage": target.withBody(1, "x"),
	} {
		t.Run(name, func(t *testing.T) {
			connection := dial(t, target)
			if _, err := io.WriteString(connection, request); err != nil {
				t.Fatal(err)
			}
			if err := connection.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			wantRefused(t, answerOn(t, connection))
			if _, err := io.Copy(io.Discard, connection); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays open")
			}
		})
	}
}

// flood opens three times as many connections as are allowed. Silent ones make
// way for ordinary requests, and of all the rest no more than allowed stay.
func flood(t *testing.T, target target) {
	t.Helper()
	const opened = 3 * connectionLimit
	closed := make(chan struct{}, opened)
	for range opened {
		connection := dial(t, target)
		go func() {
			_, _ = connection.Read(make([]byte, 1)) // nothing comes but the end
			closed <- struct{}{}
		}()
	}
	wantServing(t, target)
	for range opened { // the last ones by the timeout of their header
		select {
		case <-closed:
		case <-time.After(waitTimeout):
			t.Fatal("silent connections stay open")
		}
	}
}
