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

// Rate is what a way of passing requests on gave.
type Rate struct {
	PerSecond float64
	MBps      float64 // of answers
	P50, P99  float64 // ms
}

// Load says what is asked: so many at a time, so many bytes there and back, for so long.
type Load struct {
	AtOnce, Ask, Answer int
	For                 time.Duration
}

// OverLink measures requests over one link, through both cores and modules.
func OverLink(dir string, set policy.Settings, load Load, pack bool, delay time.Duration) (r Rate, err error) {
	answer := Rows(load.Answer)
	near, far, err := Pair(dir, Options{Settings: set, Engines: 4, Cores: 4096, Pack: pack, Held: 64 << 20, Answer: func([]byte) []byte { return answer }}, delayed(delay))
	if err != nil {
		return r, err
	}
	defer far.Close()
	defer near.Close()
	c := &closed{node: near, load: load, statement: Rows(load.Ask), until: time.Now().Add(load.For), done: make(chan struct{})}
	c.out = load.AtOnce
	near.Now(func() {
		for range load.AtOnce {
			c.ask()
		}
	})
	<-c.done
	if c.failed > 0 {
		return r, fmt.Errorf("sitelink: %d of %d requests failed: %v; there %v", c.failed, len(c.took)+c.failed, near.Counters.All(), far.Counters.All())
	}
	return rate(c.took, load), nil
}

// closed is a closed loop of requests on a node's goroutine.
type closed struct {
	node      *Node
	load      Load
	statement []byte
	until     time.Time
	seq       int
	out       int
	failed    int
	took      []time.Duration
	done      chan struct{}
}

type call struct {
	c     *closed
	began time.Time
}

func (c *closed) ask() {
	c.seq++
	r := &core.Request{
		ID: fmt.Sprint(c.seq), Class: "lookup", Statement: Text(c.statement), Work: time.Millisecond, Client: &call{c, time.Now()},
		Deadline: c.node.Loop.Now() + 5*time.Second,
	}
	c.node.Core.Accept(r)
}

// Answer counts one and asks the next.
func (k *call) Answer(_ *core.Request, a core.Answer) {
	c := k.c
	if a.Verdict == core.Served {
		c.took = append(c.took, time.Since(k.began))
	} else {
		c.failed++
	}
	if time.Now().Before(c.until) && c.failed < 1000 {
		c.node.Loop.Post(c.ask)
		return
	}
	if c.out--; c.out == 0 {
		close(c.done)
	}
}

func rate(took []time.Duration, load Load) (r Rate) {
	if len(took) == 0 {
		return r
	}
	slices.Sort(took)
	r.PerSecond = float64(len(took)) / load.For.Seconds()
	r.MBps = r.PerSecond * float64(load.Answer) / 1e6
	r.P50, r.P99 = float64(took[len(took)/2])/1e6, float64(took[len(took)*99/100])/1e6
	return r
}

func delayed(delay time.Duration) func(string) (string, error) {
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

// OverTCP measures the same bytes on one connection through a relay that does nothing but copy:
// no TLS, no frames, nobody decides.
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
	ask := make([]byte, 8+load.Ask)
	var mu sync.Mutex
	began := map[uint64]time.Time{}
	var seq uint64
	send := func() error {
		mu.Lock()
		seq++
		binary.BigEndian.PutUint64(ask, seq)
		began[seq] = time.Now()
		mu.Unlock()
		_, err := c.Write(ask)
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
	return rate(took, load), nil
}

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

// Open is what open streams cost.
type Open struct {
	Streams   int
	HeapMB    float64 // of both gateways with all that they know of the requests, less what it was without
	PerStream float64 // bytes
}

// OpenStreams opens so many streams that all wait for their engine, and measures the heap.
func OpenStreams(dir string, set policy.Settings, n int) (o Open, err error) {
	near, far, err := Pair(dir, Options{Settings: set, Engines: 4, Cores: 1 << 16, Pack: true, Held: 256 << 20}, nil)
	if err != nil {
		return o, err
	}
	defer far.Close()
	defer near.Close()
	before := heap()
	got := make(Answers, n)
	statement := Rows(300)
	for i := 0; i < n; i += 500 { // a credit's worth at a time
		near.Now(func() {
			for j := range min(500, n-i) {
				near.Core.Accept(&core.Request{
					ID: fmt.Sprint(i + j), Class: "report", Statement: Text(bytes.Clone(statement)), Work: time.Millisecond, Client: got,
					Deadline: near.Loop.Now() + 20*time.Second,
				})
			}
		})
		if err := far.Count("site.taken.report", int64(min(i+500, n))); err != nil {
			return o, fmt.Errorf("%w; %d were answered already", err, len(got))
		}
	}
	near.Now(func() { o.Streams = near.Service.Overview().Peers[0].Forwarded })
	after := heap()
	o.HeapMB = float64(after-before) / 1e6
	o.PerStream = float64(after-before) / float64(max(o.Streams, 1))
	return o, nil
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Packing is what packing a body of rows costs and saves.
type Packing struct {
	Size       int
	Part       float64 // of it that travels; 1: it is not packed
	Pack, Read float64 // us
	// Pays is the line, in MB a second, up to which packing and reading take less time than the bytes
	// that it saves; 0: it is not packed.
	Pays float64
}

// Packed measures packing of bodies of some sizes.
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

// Rows is text as the register's rows are: part numbers, names, counts, in columns.
func Rows(size int) []byte {
	var b bytes.Buffer
	names := []string{"chain ring", "brake cable", "hub, rear", "spoke 264 mm", "saddle", "tyre 26 x 1.95"}
	for i := 0; b.Len() < size; i++ {
		x := uint32(i) * 2654435761
		fmt.Fprintf(&b, "%08x\t%s\t%d pcs, hall %c, since 20%02d-%02d-%02d\n", x, names[x%6], x>>16%977, 'a'+x>>8%5, x%23+1, x>>4%12+1, x>>9%28+1)
	}
	return b.Bytes()[:size]
}
