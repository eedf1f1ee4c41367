package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	maxResponseBytes = 8 << 20
	queryWait        = 5 * time.Second        // time after which a blocking query returns without a change
	queryGrace       = 2 * time.Second        // time that a server may add to queryWait, and the network
	firstBackoff     = 100 * time.Millisecond // delay after a failure, doubled after each further one
	maxBackoff       = 5 * time.Second
	// minQueryInterval is the minimum time between the starts of two successful queries. It limits
	// the load from an index that changes continuously.
	minQueryInterval = 20 * time.Millisecond
)

var errResponseTooLarge = errors.New("response too large")

// query is a blocking query of one path of the HTTP API, which poll repeats. It belongs to the
// goroutine that runs poll.
type query struct {
	client *http.Client
	opts   Options
	path   string       // API path that the name of the service is appended to
	post   func(func()) // runs a function on the watcher's goroutine
	// failed and answered are called on the watcher's goroutine after each query, and after its list was handled. silentFor
	// is the time since the latest answer.
	failed   func(silentFor time.Duration)
	answered func()
	log      *slog.Logger
}

// newQuery returns the query of a service for an API path that ends in a slash.
func (w *Watcher) newQuery(opts Options, path string) *query {
	return &query{
		client: w.client, opts: opts, path: path, post: w.post, log: w.log,
		failed: func(silentFor time.Duration) { w.queryFailed(path, silentFor) }, answered: func() { w.queryAnswered(path) },
	}
}

// poll makes blocking queries until the context ends and passes each new list to handle on the
// watcher's goroutine. After a failure and a backoff it asks for the current list without blocking.
func poll[T any](ctx context.Context, q *query, handle func([]T)) {
	var index uint64 // index of the latest list; 0 requests an immediate response
	backoff := firstBackoff
	answeredAt := time.Now()
	for ctx.Err() == nil {
		start := time.Now()
		var list []T
		responseIndex, err := q.fetch(ctx, index, &list)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			q.reportFailure(ctx, err, backoff, time.Since(answeredAt))
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			index = 0
			continue
		}
		backoff = firstBackoff
		answeredAt = time.Now()
		isNew := responseIndex != index
		q.post(func() {
			if ctx.Err() != nil { // Watch has switched to another service in the meantime
				return
			}
			if isNew {
				handle(list)
			}
			q.answered()
		})
		index = nextIndex(index, responseIndex)
		sleep(ctx, minQueryInterval-time.Since(start))
	}
}

// nextIndex returns the index of the next query, given those of the last query and its response. It
// returns 0 if the index decreased, as it does after the servers were restored or replaced. It
// returns at least 1 otherwise, so that the next query blocks.
func nextIndex(last, response uint64) uint64 {
	if response < last {
		return 0
	}
	return max(response, 1)
}

// reportFailure reports and logs a failed query.
func (q *query) reportFailure(ctx context.Context, err error, backoff, silentFor time.Duration) {
	q.post(func() {
		if ctx.Err() == nil {
			q.failed(silentFor)
		}
	})
	q.log.Warn("consul.failed", "consul", q.opts.Address, "path", q.path, "error", err, "retry_in", backoff)
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fetch makes one blocking query and decodes the response into list, a pointer to a slice. It returns
// the index of the response.
func (q *query) fetch(ctx context.Context, index uint64, list any) (responseIndex uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryWait+queryGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, q.url(index), nil)
	if err != nil {
		return 0, err
	}
	if q.opts.Token != "" {
		req.Header.Set("X-Consul-Token", q.opts.Token)
	}
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return 0, fmt.Errorf("read response: %w", err)
	case len(body) > maxResponseBytes:
		return 0, fmt.Errorf("%w: more than %d bytes", errResponseTooLarge, maxResponseBytes)
	case resp.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("unexpected status %s: %.100s", resp.Status, strings.TrimSpace(string(body)))
	}
	responseIndex, err = strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse X-Consul-Index header: %w", err)
	}
	if err := json.Unmarshal(body, list); err != nil {
		return 0, fmt.Errorf("decode response: %w", err)
	}
	return responseIndex, nil
}

// url returns the URL of a query that blocks until the index passes the given one. With index 0 it
// does not block.
func (q *query) url(index uint64) string {
	u := url.URL{Scheme: "http", Host: q.opts.Address, Path: q.path + q.opts.Service}
	u.RawQuery = url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {queryWait.String()}}.Encode()
	return u.String()
}
