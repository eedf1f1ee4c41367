package pressure

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"gannetspur/internal/testbed/harness"
)

const (
	requestPause  = 50 * time.Millisecond // between two requests of one usual client
	answerTimeout = 10 * time.Second
	slowPieces    = 16                     // in which a slow usual client writes a request
	slowPause     = 120 * time.Millisecond // between two of these pieces, so that a request takes just under 2 s
	crossingTime  = 50 * time.Millisecond  // in which a request may cross the close of an idle connection
	slowEvery     = 3                      // every third usual client is slow
)

// usualClients are clients that send sound requests and read the answers. Some write slowly.
type usualClients struct {
	front Front
	addr  string
	count int

	mu        sync.Mutex
	latencies []time.Duration
	refused   int // answered, and not served
	lost      int // not answered
	firstLoss string
}

// play runs the clients for some time.
func (u *usualClients) play(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var all sync.WaitGroup
	for number := range u.count {
		all.Go(func() { u.playOne(ctx, number) })
	}
	all.Wait()
}

// take returns the summary of the latencies so far, and forgets them.
func (u *usualClients) take() Latencies {
	u.mu.Lock()
	defer u.mu.Unlock()
	summary := summarise(u.latencies)
	u.latencies = nil
	return summary
}

// record records one request.
func (u *usualClients) record(latency time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil:
		u.latencies = append(u.latencies, latency)
		return
	case errors.Is(err, errNotServed):
		u.refused++
		return
	}
	u.lost++
	if u.firstLoss == "" {
		u.firstLoss = err.Error()
	}
}

// playOne runs one client, which connects anew after a loss.
func (u *usualClients) playOne(ctx context.Context, number int) {
	for ctx.Err() == nil {
		conn, err := connect(u.front, u.addr)
		if err != nil {
			u.record(0, fmt.Errorf("connect: %w", err))
			_ = harness.Sleep(ctx, requestPause)
			continue
		}
		for err == nil && ctx.Err() == nil {
			pieces := 1
			if number%slowEvery == 0 && conn.sent%2 == 0 {
				pieces = slowPieces
			}
			var latency time.Duration
			began := time.Now()
			latency, err = conn.request(pieces)
			if errors.Is(err, io.EOF) && conn.idled && pieces == 1 && time.Since(began) < crossingTime {
				break // the front end closed an idle connection; the request is sent again on a new one
			}
			u.record(latency, err)
			conn.idled = true
			if errors.Is(err, errNotServed) {
				err = nil // the connection can be used again
			}
			_ = harness.Sleep(ctx, requestPause)
		}
		_ = conn.Close()
	}
}

// clientConn is a connection of a usual client.
type clientConn struct {
	net.Conn
	front Front
	// responses reads the answers of the platform's front end.
	responses *bufio.Reader
	in        []byte // received from the PostgreSQL front end and not read
	sent      int    // requests sent
	idled     bool   // it was idle since the latest request
}

// connect opens a connection, with the startup where there is one.
func connect(front Front, addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, front: front, responses: bufio.NewReader(conn)}
	if front == Postgres {
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		if _, err = c.Write(startupPacket()); err == nil {
			_, err = c.readPostgres()
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

var errNotServed = errors.New("not served")

// request sends one request in some pieces with a pause between two, and returns the time from its last byte to its
// whole answer.
func (c *clientConn) request(pieces int) (time.Duration, error) {
	c.sent++
	text := platformRequest("lookup", newRequestID(), "SELECT day FROM sales_17.orders")
	if c.front == Postgres {
		text = simpleQuery("SELECT day FROM sales_17.orders")
	}
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	for step := max(len(text)/pieces, 1); pieces > 1; pieces-- {
		if _, err := c.Write(text[:step]); err != nil {
			return 0, fmt.Errorf("write a piece: %w", err)
		}
		text = text[step:]
		time.Sleep(slowPause)
	}
	if _, err := c.Write(text); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	sentAt := time.Now()
	read := c.readPlatform
	if c.front == Postgres {
		read = c.readPostgres
	}
	answer, err := read()
	if err != nil {
		return 0, fmt.Errorf("read after %v: %w", time.Since(sentAt).Round(time.Millisecond), err)
	}
	if !served(c.front, answer) {
		return 0, fmt.Errorf("%w after %v: %.80q", errNotServed, time.Since(sentAt).Round(time.Millisecond), answer)
	}
	return time.Since(sentAt), nil
}

// receive adds what arrives to c.in.
func (c *clientConn) receive() error {
	b := make([]byte, 4096)
	n, err := c.Read(b)
	c.in = append(c.in, b[:n]...)
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
