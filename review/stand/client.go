package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client.
type call struct {
	instance *instance
	id       string
	path     string
	key      string
	input    int
	output   int
	parts    []string
	timeout  time.Duration
}

// result is what the client got.
type result struct {
	status int
	// receipt is the server's signature.
	receipt string
	events  int
	lastID  int
	// complete is true when the answer ended as the protocol says that an answer ends.
	complete bool
	// retryAfter is when the client may ask again.
	retryAfter time.Duration
	err        string
}

// do sends a request on a new connection and reads the whole answer.
func (f *fleet) do(c call) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	plain := strings.HasPrefix(c.path, plainPath)
	method, body := http.MethodPost, io.Reader(strings.NewReader(strings.Repeat("p", 600)))
	if plain {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.caller+c.path, body)
	if err != nil {
		return result{err: err.Error()}
	}
	r.Host = "shop.example"
	r.Close = true
	r.Header.Set("Lacewingcove-Attempt-Id", c.id)
	r.Header.Set("Lacewingcove-Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	r.Header.Set("Lacewingcove-Key", c.key)
	if !plain {
		r.Header.Set("Lacewingcove-Model", "m")
		r.Header.Set("Lacewingcove-Token-Usage", fmt.Sprintf("%d,%d", c.input, c.output))
		r.Header.Set("Lacewingcove-Prompt-Prefix", strings.Join(c.parts, ","))
	}
	f.record.line("client sends %s to %s parts %s", c.id, c.instance.name, strings.Join(c.parts, ","))
	x := receive(r)
	f.record.line("client got %s status %d events %d complete %t receipt %s %s", c.id, x.status, x.events, x.complete,
		x.receipt, x.err)
	return x
}

// transport opens a connection for each request, so that no request is repeated by the client library.
var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

func receive(r *http.Request) result {
	response, err := transport.RoundTrip(r)
	if err != nil {
		return result{err: err.Error()}
	}
	defer response.Body.Close()
	x := result{status: response.StatusCode, receipt: response.Header.Get("Lacewingcove-Server-Signature")}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		x.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			x.lastID, _ = strconv.Atoi(id)
			x.events++
		}
		if err == io.EOF {
			// The transport returns another error if the body does not reach its end.
			x.complete = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
			return x
		}
		if err != nil {
			x.err = err.Error()
			return x
		}
	}
}
