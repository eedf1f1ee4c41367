package shapes

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/workload"
)

// CostOptions say how to measure what reading shapes costs the gateway.
type CostOptions struct {
	Root, Program string
	Clients       int
	Requests      int // a round
	Rounds        int // pairs of one without and one with
	Seed          uint64
	Prepared      bool // statements are prepared once and bound again and again; else each is a Query with its values
}

// CostRound is the CPU time of the gateway's process a request, in microseconds, and the
// requests that it served a second.
type CostRound struct {
	CPU, Rate float64
	KB        int // resident at the end
}

// Cost measures pairs of rounds, without shapes and with them, one after the other, each
// with a gateway of its own between the same clients and emulated engines without work.
func Cost(ctx context.Context, opts CostOptions) (without, with []CostRound, err error) {
	texts := lookups(opts.Seed, 2000, opts.Prepared)
	for i := range 2 * opts.Rounds {
		on := (i+i/2)%2 == 1 // off on, on off, off on: what drifts meets both
		r, err := costRound(ctx, opts, texts, on)
		if err != nil {
			return nil, nil, err
		}
		if on {
			with = append(with, r)
		} else {
			without = append(without, r)
		}
	}
	return without, with, nil
}

// mostPrepared is how many statements a client keeps prepared.
const mostPrepared = 200

// lookups are reading statements of the model, with their values written out or bound.
func lookups(seed uint64, n int, bound bool) []workload.Statement {
	w := workload.New(workload.Options{Seed: seed, Templates: 200}, n)
	var texts []workload.Statement
	distinct := map[string]bool{}
	for len(texts) < n {
		a := w.Next()
		if a.Class != "lookup" || (len(a.Values) > 0) != bound || bound && !distinct[a.SQL] && len(distinct) == mostPrepared {
			continue
		}
		distinct[a.SQL] = true
		texts = append(texts, a)
	}
	return texts
}

// messages are what a client sends for one statement: a Query, or a Bind of a statement
// that it prepares where it has not yet.
func messages(out []byte, a *workload.Statement, named map[string]string) []byte {
	if len(a.Values) == 0 {
		return pgproto.AppendMessage(out, 'Q', pgproto.CString(a.SQL))
	}
	name, ok := named[a.SQL]
	if !ok {
		name = fmt.Sprintf("s%d", len(named))
		named[a.SQL] = name
		types := append(binary.BigEndian.AppendUint16(nil, uint16(len(a.Types)/4)), a.Types...)
		out = pgproto.AppendMessage(out, 'P', pgproto.CString(name), pgproto.CString(a.SQL), types)
	}
	body := binary.BigEndian.AppendUint16(nil, uint16(len(a.Formats)/2))
	body = binary.BigEndian.AppendUint16(append(body, a.Formats...), uint16(len(a.Values)))
	for _, v := range a.Values {
		if v == nil {
			body = append(body, pgproto.Int32(-1)...)
			continue
		}
		body = append(append(body, pgproto.Int32(len(v))...), v...)
	}
	out = pgproto.AppendMessage(out, 'B', []byte{0}, pgproto.CString(name), append(body, 0, 0))
	return pgproto.AppendMessage(pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(0)), 'S')
}

func costRound(ctx context.Context, opts CostOptions, texts []workload.Statement, on bool) (res CostRound, err error) {
	dir, err := os.MkdirTemp("", "testbed-cost-")
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(dir)
	addr, err := harness.UnusedAddress()
	if err != nil {
		return res, err
	}
	r, err := harness.New(harness.Options{
		Root: opts.Root, Dir: dir, Engines: 2, HTTP: "127.0.0.1:0", Postgres: addr, Shapes: on, Log: slog.New(slog.DiscardHandler),
		Work: func(string) (time.Duration, float64) { return 0, 1 },
	})
	if err != nil {
		return res, err
	}
	defer r.Close()
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return res, err
	}
	defer log.Close()
	g, err := harness.Start(opts.Program, log, "serve", "--postgres", r.Deploy)
	if err != nil {
		return res, err
	}
	defer g.Stop()
	if err := harness.WaitListening(ctx, addr); err != nil {
		return res, err
	}
	if err := ask(ctx, addr, texts, opts.Clients, opts.Requests/5); err != nil { // warm
		return res, err
	}
	before, err := cpu(g.Process.Pid)
	if err != nil {
		return res, err
	}
	start := time.Now()
	if err := ask(ctx, addr, texts, opts.Clients, opts.Requests); err != nil {
		return res, err
	}
	took := time.Since(start)
	after, err := cpu(g.Process.Pid)
	if err != nil {
		return res, err
	}
	res.CPU = float64((after - before).Microseconds()) / float64(opts.Requests)
	res.Rate = float64(opts.Requests) / took.Seconds()
	res.KB = int(metrics.ResidentBytes(g.Process.Pid) >> 10)
	return res, nil
}

// ask has clients send statements one after the other. Refusals are waited out at the
// start, while no engine is known yet.
func ask(ctx context.Context, addr string, texts []workload.Statement, clients, requests int) error {
	var wg sync.WaitGroup
	errs := make(chan error, clients)
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs <- askOne(ctx, addr, texts, i*97, requests/clients)
		}()
	}
	wg.Wait()
	close(errs)
	var all error
	for err := range errs {
		all = errors.Join(all, err)
	}
	return all
}

func askOne(ctx context.Context, addr string, texts []workload.Statement, from, requests int) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if d, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(d)
	}
	in := bufio.NewReader(c)
	if _, err := c.Write(pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("lab")...), 0))); err != nil {
		return err
	}
	if _, err := untilReady(in); err != nil {
		return err
	}
	var out []byte
	named := map[string]string{}
	for done := 0; done < requests; {
		out = messages(out[:0], &texts[(from+done)%len(texts)], named)
		if _, err := c.Write(out); err != nil {
			return err
		}
		refused, err := untilReady(in)
		switch {
		case err != nil:
			return err
		case refused: // no engine is known yet, or the module holds back
			time.Sleep(2 * time.Millisecond)
		default:
			done++
		}
	}
	return nil
}

// untilReady reads an answer, and tells whether it was a refusal.
func untilReady(in *bufio.Reader) (refused bool, err error) {
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(in, head); err != nil {
			return false, err
		}
		body := make([]byte, int(binary.BigEndian.Uint32(head[1:]))-4)
		if _, err := io.ReadFull(in, body); err != nil {
			return false, err
		}
		switch head[0] {
		case 'E':
			e, err := pgproto.ReadError(body)
			if err != nil {
				return false, err
			}
			if e.Code != "53000" {
				return false, e
			}
			refused = true
		case 'Z':
			return refused, nil
		}
	}
}

// cpu is the CPU time that a process has used, from proc(5).
func cpu(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 13 {
		return 0, fmt.Errorf("proc: can't read the times of %d", pid)
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	const tick = 10 * time.Millisecond // USER_HZ is 100 on all that Go runs on
	return time.Duration(user+system) * tick, errors.Join(err1, err2)
}
