package sitelink

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/policy"
)

// Rate is the throughput and latency of one way to forward requests.
type Rate struct {
	PerSecond float64 // requests per second
	MBps      float64 // answer payload, MB per second
	P50, P99  float64 // latency percentiles, ms
}

// Load describes a closed-loop load.
type Load struct {
	AtOnce int           // number of concurrent requests
	Ask    int           // size of a request, bytes
	Answer int           // size of an answer, bytes
	For    time.Duration // duration of the measurement
}

// OverLink measures requests over one link, through the cores and decision modules of both gateways.
func OverLink(dir string, set policy.Settings, load Load, pack bool, delay time.Duration) (r Rate, err error) {
	answer := Rows(load.Answer)
	near, far, err := Pair(dir, Options{Settings: set, Engines: 4, Cores: 4096, Pack: pack, Held: 64 << 20, Answer: func([]byte) []byte { return answer }}, delayProxy(delay))
	if err != nil {
		return r, err
	}
	defer far.Close()
	defer near.Close()
	c := &closedLoop{node: near, load: load, statement: Rows(load.Ask), until: time.Now().Add(load.For), done: make(chan struct{})}
	c.inFlight = load.AtOnce
	near.Now(func() {
		for range load.AtOnce {
			c.sendNext()
		}
	})
	<-c.done
	if c.failed > 0 {
		return r, fmt.Errorf("sitelink: %d of %d requests failed, want none; counters of the near gateway %v, of the far gateway %v", c.failed, len(c.latencies)+c.failed, near.Counters.All(), far.Counters.All())
	}
	return summarize(c.latencies, load), nil
}

// closedLoop sends requests on a node's goroutine and keeps a fixed number of them in flight.
type closedLoop struct {
	node      *Node
	load      Load
	statement []byte          // of all requests
	until     time.Time       // end of the measurement
	lastID    int             // id of the latest request
	inFlight  int             // requests in flight
	failed    int             // requests without a served answer
	latencies []time.Duration // latencies of served requests
	done      chan struct{}   // closed after the last answer
}

// pendingCall is the client of one request of a closed loop.
type pendingCall struct {
	c     *closedLoop
	began time.Time // when the request was sent
}

// sendNext sends the next request.
func (c *closedLoop) sendNext() {
	c.lastID++
	r := &core.Request{
		ID: fmt.Sprint(c.lastID), Class: "lookup", Statement: Text(c.statement), Work: time.Millisecond, Client: &pendingCall{c, time.Now()},
		Deadline: c.node.Loop.Now() + 5*time.Second,
	}
	c.node.Core.Accept(r)
}

// Answer records an answer and sends the next request, until the measurement ends.
func (k *pendingCall) Answer(_ *core.Request, a core.Answer) {
	c := k.c
	if a.Verdict == core.Served {
		c.latencies = append(c.latencies, time.Since(k.began))
	} else {
		c.failed++
	}
	if time.Now().Before(c.until) && c.failed < 1000 {
		c.node.Loop.Post(c.sendNext)
		return
	}
	if c.inFlight--; c.inFlight == 0 {
		close(c.done)
	}
}

// summarize computes throughput and latency percentiles. It sorts took.
func summarize(took []time.Duration, load Load) (r Rate) {
	if len(took) == 0 {
		return r
	}
	slices.Sort(took)
	r.PerSecond = float64(len(took)) / load.For.Seconds()
	r.MBps = r.PerSecond * float64(load.Answer) / 1e6
	r.P50, r.P99 = float64(took[len(took)/2])/1e6, float64(took[len(took)*99/100])/1e6
	return r
}

// delayProxy returns a function that opens a delaying proxy to an address; nil: no delay.
func delayProxy(delay time.Duration) func(string) (string, error) {
	if delay <= 0 {
		return nil
	}
	return func(addr string) (string, error) {
		l, err := faultproxy.Listen(addr, faultproxy.Options{Delay: delay})
		if err != nil {
			return "", err
		}
		return l.Addr(), nil
	}
}

// OverTCP measures the same payload on one TCP connection through a relay that only copies: without
// TLS, framing or decisions. It is the baseline for OverLink.
func OverTCP(load Load) (r Rate, err error) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return r, err
	}
	defer server.Close()
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return r, err
	}
	defer relay.Close()
	go echo(server, load)
	go copyAll(relay, server.Addr().String())
	c, err := net.Dial("tcp", relay.Addr().String())
	if err != nil {
		return r, err
	}
	defer c.Close()
	request := make([]byte, 8+load.Ask)
	var mu sync.Mutex
	began := map[uint64]time.Time{}
	var seq uint64
	send := func() error {
		mu.Lock()
		seq++
		binary.BigEndian.PutUint64(request, seq)
		began[seq] = time.Now()
		mu.Unlock()
		_, err := c.Write(request)
		return err
	}
	until := time.Now().Add(load.For)
	go func() {
		for range load.AtOnce {
			if send() != nil {
				return
			}
		}
	}()
	var took []time.Duration
	in := make([]byte, 8+load.Answer)
	for left := load.AtOnce; left > 0; {
		if _, err := io.ReadFull(c, in); err != nil {
			return r, err
		}
		id := binary.BigEndian.Uint64(in)
		mu.Lock()
		took = append(took, time.Since(began[id]))
		delete(began, id)
		mu.Unlock()
		if time.Now().Before(until) {
			if err := send(); err != nil {
				return r, err
			}
		} else {
			left--
		}
	}
	return summarize(took, load), nil
}

// echo answers each request on one connection with an answer that carries the request's id.
func echo(ln net.Listener, load Load) {
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	in, out := make([]byte, 8+load.Ask), make([]byte, 8+load.Answer)
	copy(out[8:], Rows(load.Answer))
	for {
		if _, err := io.ReadFull(c, in); err != nil {
			return
		}
		copy(out, in[:8])
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// copyAll relays one connection in both directions.
func copyAll(ln net.Listener, to string) {
	a, err := ln.Accept()
	if err != nil {
		return
	}
	b, err := net.Dial("tcp", to)
	if err != nil {
		_ = a.Close()
		return
	}
	go func() { _, _ = io.Copy(b, a); _ = b.Close() }() // ends with its connections
	_, _ = io.Copy(a, b)
	_ = a.Close()
}

// Open is the memory cost of open streams.
type Open struct {
	Streams   int     // number of open streams
	HeapMB    float64 // heap growth of both gateways, including their state of the requests, MB
	PerStream float64 // heap growth per stream, bytes
}

// OpenStreams opens n streams that all wait for their engine, and measures the heap growth.
func OpenStreams(dir string, set policy.Settings, n int) (o Open, err error) {
	near, far, err := Pair(dir, Options{Settings: set, Engines: 4, Cores: 1 << 16, Pack: true, Held: 256 << 20}, nil)
	if err != nil {
		return o, err
	}
	defer far.Close()
	defer near.Close()
	before := heapBytes()
	got := make(Answers, n)
	statement := Rows(300)
	for i := 0; i < n; i += 500 { // in batches within the link's credit
		near.Now(func() {
			for j := range min(500, n-i) {
				near.Core.Accept(&core.Request{
					ID: fmt.Sprint(i + j), Class: "report", Statement: Text(bytes.Clone(statement)), Work: time.Millisecond, Client: got,
					Deadline: near.Loop.Now() + 20*time.Second,
				})
			}
		})
		if err := far.Count("site.taken.report", int64(min(i+500, n))); err != nil {
			return o, fmt.Errorf("%w; %d requests were answered already, want none", err, len(got))
		}
	}
	near.Now(func() { o.Streams = near.Service.Overview().Peers[0].Forwarded })
	after := heapBytes()
	o.HeapMB = float64(after-before) / 1e6
	o.PerStream = float64(after-before) / float64(max(o.Streams, 1))
	return o, nil
}

// heapBytes returns the live heap size after garbage collection, in bytes.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Packing is the cost and the saving of compressing a body of rows.
type Packing struct {
	Size       int     // size before compression, bytes
	Part       float64 // compressed size as a fraction of Size; 1: not compressed
	Pack, Read float64 // time to compress and to decompress, us
	// Pays is the bandwidth, in MB per second, up to which compressing and decompressing take less
	// time than transmitting the saved bytes; 0: not compressed.
	Pays float64
}

// Packed measures compression of bodies of the given sizes, in bytes.
func Packed(sizes []int) (all []Packing, err error) {
	p, err := forwarding.NewPacker()
	if err != nil {
		return nil, err
	}
	for _, size := range sizes {
		b := Rows(size)
		times := max(20_000_000/size, 10)
		var body []byte
		var raw int
		began := time.Now()
		for range times {
			body, raw = p.Pack(b)
		}
		packed := time.Since(began)
		began = time.Now()
		for range times {
			if _, err := p.Unpack(body, raw); err != nil {
				return nil, err
			}
		}
		read := time.Since(began)
		us := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 / float64(times) }
		one := Packing{Size: size, Part: float64(len(body)) / float64(size), Pack: us(packed), Read: us(read)}
		if raw > 0 {
			one.Pays = float64(size-len(body)) / (one.Pack + one.Read)
		}
		all = append(all, one)
	}
	return all, nil
}

// Rows returns size bytes of text like the register's rows: part numbers, names and counts in
// columns.
func Rows(size int) []byte {
	var b bytes.Buffer
	names := []string{"chain ring", "brake cable", "hub, rear", "spoke 264 mm", "saddle", "tyre 26 x 1.95"}
	for i := 0; b.Len() < size; i++ {
		x := uint32(i) * 2654435761
		fmt.Fprintf(&b, "%08x\t%s\t%d pcs, hall %c, since 20%02d-%02d-%02d\n", x, names[x%6], x>>16%977, 'a'+x>>8%5, x%23+1, x>>4%12+1, x>>9%28+1)
	}
	return b.Bytes()[:size]
}
