package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one JSON object a line, with the time in
// seconds since the start.
type record struct {
	started time.Time
	mutex   sync.Mutex
	file    *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file}, nil
}

func (r *record) seconds() float64 { return time.Since(r.started).Seconds() }

// note writes one line: the time, what happened, and pairs of a key and a value.
func (r *record) note(what string, pairs ...any) {
	var line bytes.Buffer
	fmt.Fprintf(&line, `{"t":%.3f,"what":%q`, r.seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		value, _ := json.Marshal(pairs[i+1])
		fmt.Fprintf(&line, `,%q:%s`, pairs[i], value)
	}
	line.WriteString("}\n")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.Write(line.Bytes())
}

// say writes a line to the record and to the output.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Printf("%7.2f s  %s\n", r.seconds(), text)
	r.note("note", "text", text)
}

// httpClient has a connection for each call in flight and follows no redirects.
var httpClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call makes one call. status is 0 if no complete answer came in time.
func call(method, url, host string, headers map[string]string, body []byte, timeout time.Duration) (status int, answer []byte) {
	status, answer, _ = callFor(method, url, host, headers, body, timeout, 64<<20)
	return status, answer
}

// callFor is call with a limit on the size of the answer. complete is false if the answer is
// larger.
func callFor(method, url, host string, headers map[string]string, body []byte, timeout time.Duration, limit int64) (status int, answer []byte, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, false
	}
	if host != "" {
		request.Host = host
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return 0, nil, false
	}
	return response.StatusCode, answer, int64(len(answer)) <= limit
}
