// Command pgtoy lets one try ringwood's PostgreSQL front: it stands in for an engine
// and for the Consul agent that tells of it. Each statement is answered with one row
// that says what the engine was asked.
package main

import (
	"encoding/binary"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"gannetspur/internal/pgproto"
)

func main() {
	addr := flag.String("engine", "127.0.0.1:5499", "`address` of the engine; give only one on this machine")
	agent := flag.String("consul", "127.0.0.1:8500", "`address` of the agent; give only one on this machine")
	work := flag.Duration("work", 300*time.Millisecond, "how long a statement takes")
	flag.Parse()
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.ListenAndServe(*agent, consul(ln.Addr().(*net.TCPAddr)))) }()
	log.Printf("toy engine at %s, toy agent at %s", ln.Addr(), *agent)
	for {
		c, err := ln.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer c.Close()
			if err := serve(c, *work); err != nil {
				log.Printf("connection: %v", err)
			}
		}()
	}
}

// consul answers the two queries that ringwood makes. Nothing ever changes, so a
// query that knows the only index waits until its time is over.
func consul(engine *net.TCPAddr) http.Handler {
	answer := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil && r.URL.Query().Get("index") == "1" {
				select {
				case <-time.After(wait):
				case <-r.Context().Done():
					return
				}
			}
			w.Header().Set("X-Consul-Index", "1")
			fmt.Fprint(w, body)
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/catalog/service/", answer(fmt.Sprintf(
		`[{"Node":"toy","Address":%q,"Datacenter":"dc1","ServiceID":"engine-1","ServicePort":%d}]`, engine.IP, engine.Port)))
	mux.Handle("/v1/health/service/", answer(
		`[{"Node":{"Node":"toy"},"Service":{"ID":"engine-1"},"Checks":[{"CheckID":"serfHealth","Status":"passing"}]}]`))
	return mux
}

var columns = append([]byte{0, 1}, append([]byte("asked\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)...)

// serve answers one connection of the gateway, message by message.
func serve(c net.Conn, work time.Duration) error {
	in, p := []byte{}, make([]byte, 8192)
	more := func() error {
		n, err := c.Read(p)
		in = append(in, p[:n]...)
		return err
	}
	for {
		code, _, n, err := pgproto.Startup(in)
		if err != nil {
			return err
		}
		if in = in[n:]; n > 0 {
			if code == pgproto.CancelReq {
				log.Print("a statement was given up")
				return nil
			}
			break
		}
		if err := more(); err != nil {
			return err
		}
	}
	out := pgproto.Append(nil, 'R', pgproto.Int32(0))
	out = pgproto.Append(out, 'K', pgproto.Int32(1), pgproto.Int32(1))
	out = pgproto.Append(out, 'Z', []byte("I"))
	query := ""
	for {
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
		kind, body, n, err := pgproto.Next(in, 1<<20)
		if err != nil {
			return err
		}
		if n == 0 {
			if err := more(); err != nil {
				return nil // the gateway has gone
			}
			continue
		}
		r := pgproto.Reader{B: body}
		switch kind {
		case 'P':
			r.Str()
			query = r.Str()
			log.Printf("asked: %s", query)
			out = pgproto.Append(out, '1')
		case 'B':
			out = pgproto.Append(out, '2')
		case 'D':
			if r.Byte() == 'S' {
				out = pgproto.Append(out, 't', parameters(query))
			}
			out = pgproto.Append(out, 'T', columns)
		case 'E':
			time.Sleep(work)
			out = pgproto.Append(out, 'D', []byte{0, 1}, pgproto.Int32(len(query)), []byte(query))
			out = pgproto.Append(out, 'C', pgproto.Str("SELECT 1"))
		case 'S':
			out = pgproto.Append(out, 'Z', []byte("I"))
		}
		in = in[n:]
	}
}

var parameter = regexp.MustCompile(`\$([0-9]+)`)

// parameters describes as many text parameters as the statement names.
func parameters(query string) []byte {
	most := 0
	for _, m := range parameter.FindAllStringSubmatch(query, -1) {
		if n, err := strconv.Atoi(m[1]); err == nil && n <= 100 {
			most = max(most, n)
		}
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(most))
	for range most {
		b = append(b, pgproto.Int32(25)...)
	}
	return b
}
