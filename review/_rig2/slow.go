package main

import (
	"fmt"
	"net"
	"strings"
	"time"

	"gannetspur/internal/pgproto"
)

// playSlow: a client sends several statements in one Query, whose results are long, and reads them slowly.
func playSlow(r *rig) (broken []string) {
	const (
		results = 4    // of the Query
		rows    = 4000 // of 1 KB each: under the 4 MB that a result may have
		rate    = 1 << 20
	)
	work := func(string, string) time.Duration { return 20 * time.Millisecond }
	engines := []*engine{r.engine("e1", "hall-a", nil, work), r.engine("e2", "hall-b", nil, work)}
	for _, e := range engines {
		e.big = rows
	}
	catalogue := r.consul(engines...)
	r.write("settings.json", r.settings(nil))
	listen := r.freePort()
	postgres := r.write("postgres.toml", r.deployFile("postgres.toml", "listen =", `listen = "`+listen+`"`, "settings =", `settings = "settings.json"`,
		"address =", `address = "`+catalogue.addr+`"`))
	gateway := r.run("gateway", "serve", "--log-format", "json", "--postgres", postgres)
	r.await(gateway, "serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the catalogue has been read

	const insert = "UPDATE stock_17.counters SET asked = asked + 1"
	c := r.client(listen)
	text := insert + strings.Repeat("; SELECT big FROM stock_17.parts", results)
	if r.trouble {
		r.logf("the client reads %d KB/s", rate>>10)
		r.must(c.conn.(*net.TCPConn).SetReadBuffer(64 << 10))
	}
	r.logf("the client sends %s", text)
	_, err := c.conn.Write(pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString(text)))
	r.must(err)
	var in []byte
	b := make([]byte, 16<<10)
	total, got, code, ready := 0, 0, "", false
	start := time.Now()
	var end error
	for !ready && end == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		var n int
		n, end = c.conn.Read(b)
		total += n
		in = append(in, b[:n]...)
		for {
			kind, body, size, err := pgproto.ReadMessage(in, 8<<20)
			r.must(err)
			if size == 0 {
				break
			}
			in = in[size:]
			switch kind {
			case pgproto.MessageDataRow:
				got++
			case pgproto.MessageErrorResponse:
				if e, err := pgproto.ReadError(body); err == nil {
					code = e.Code
				}
			case pgproto.MessageReadyForQuery:
				ready = true
			}
		}
		if r.trouble {
			time.Sleep(time.Until(start.Add(time.Duration(total) * time.Second / rate)))
		}
	}
	time.Sleep(500 * time.Millisecond)
	committed := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, a := range e.received {
			if a.query == insert && a.ended {
				committed++
			}
		}
		e.mu.Unlock()
	}
	r.logf("the client has %d of %d rows after %.1f s, error %q, final answer %v, end of the connection: %v", got, results*rows, time.Since(start).Seconds(), code, ready || code != "", end)
	r.logf("the UPDATE was committed %d times", committed)
	if !ready && code == "" {
		broken = append(broken, fmt.Sprintf("the connection ended after %d of %d rows with no final answer (%v); the UPDATE was committed %d times", got, results*rows, end, committed))
	}
	return broken
}
