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
	maxAnswer    = 8 << 20          // bytes
	queryWait    = 30 * time.Second // after which a blocking query returns without a change
	queryGrace   = 5 * time.Second  // that a server may add to it
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// minQueryInterval is the least time between the starts of two queries that succeeded. Guards
	// against an index that changes without pause.
	minQueryInterval = 20 * time.Millisecond
)

var errAnswerTooLarge = errors.New("answer too large")

// query is one path of the HTTP API, to be asked again and again. Its goroutine has it alone; post
// and countError hand over to that of the watcher.
type query struct {
	client     *http.Client
	opts       Options
	path       string
	post       func(func())
	countError func()
	log        *slog.Logger
}

func (w *Watcher) newQuery(opts Options, path string) *query {
	return &query{
		client: w.client, opts: opts, path: path, post: w.post, log: w.log,
		countError: func() { w.counters.Add("consul.errors") },
	}
}

// poll makes blocking queries until the context ends, and has each new list taken on the watcher's
// goroutine. A query that fails is retried after a backoff, for the present list at once.
func poll[T any](ctx context.Context, q *query, take func([]T)) {
	var index uint64 // of the latest list; 0: answer at once
	backoff := firstBackoff
	for ctx.Err() == nil {
		began := time.Now()
		var list []T
		next, err := q.fetch(ctx, index, &list)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			q.failed(err, backoff)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			index = 0
			continue
		}
		backoff = firstBackoff
		if next != index {
			q.post(func() {
				if ctx.Err() == nil { // else Watch has gone over to another service meanwhile
					take(list)
				}
			})
		}
		index = following(index, next)
		sleep(ctx, minQueryInterval-time.Since(began))
	}
}

// following is the index of the next query. It begins anew where the index went back: the servers
// were restored or replaced.
func following(index, next uint64) uint64 {
	if next < index {
		return 0
	}
	return max(next, 1)
}

func (q *query) failed(err error, backoff time.Duration) {
	q.post(q.countError)
	q.log.Warn("consul.failed", "consul", q.opts.Address, "path", q.path, "error", err, "retry_in", backoff)
}

// sleep waits, until the context ends at the latest.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fetch makes one blocking query and reads the answer into list. next is the index of the answer.
func (q *query) fetch(ctx context.Context, index uint64, list any) (next uint64, err error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return 0, fmt.Errorf("read the answer: %w", err)
	case len(body) > maxAnswer:
		return 0, fmt.Errorf("%w: over %d bytes", errAnswerTooLarge, maxAnswer)
	case resp.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("status %s: %.100s", resp.Status, strings.TrimSpace(string(body)))
	}
	next, err = strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("X-Consul-Index: %w", err)
	}
	if err := json.Unmarshal(body, list); err != nil {
		return 0, fmt.Errorf("read the answer: %w", err)
	}
	return next, nil
}

func (q *query) url(index uint64) string {
	u := url.URL{Scheme: "http", Host: q.opts.Address, Path: q.path + q.opts.Service}
	u.RawQuery = url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {queryWait.String()}}.Encode()
	return u.String()
}
