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

// CostOptions configure a measurement of what query shapes cost the gateway.
type CostOptions struct {
	Root, Program string // root directory of the sources, and path of the gateway's program
	Clients       int    // concurrent connections
	Requests      int    // per round, of all clients
	Rounds        int    // pairs of rounds, one without shapes and one with them
	Seed          uint64 // of the statements
	Prepared      bool   // whether statements are prepared once and bound for each request; otherwise each is a Query with its values
}

// CostRound holds the measurements of one round.
type CostRound struct {
	CPU  float64 // CPU time of the gateway's process per request, in microseconds
	Rate float64 // requests served per second
	KB   int     // resident memory of the process at the end, in KiB
}

// Cost measures pairs of rounds, without shapes and with them, one after the other. Each round has a gateway
// of its own, the same statements, and emulated engines that answer at once.
func Cost(ctx context.Context, opts CostOptions) (without, with []CostRound, err error) {
	texts := lookups(opts.Seed, 2000, opts.Prepared)
	for i := range 2 * opts.Rounds {
		on := (i+i/2)%2 == 1 // off on, on off, off on: so that a drift of the machine affects both alike
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

// maxPrepared limits the number of statements that a client keeps prepared.
const maxPrepared = 200

// lookups returns n lookups of the workload, all with bound values or all without. Those with bound values
// have at most maxPrepared distinct texts.
func lookups(seed uint64, n int, bound bool) []workload.Statement {
	w := workload.New(workload.Options{Seed: seed, Templates: 200}, n)
	var texts []workload.Statement
	distinct := map[string]bool{}
	for len(texts) < n {
		statement := w.Next()
		if statement.Class != "lookup" || (len(statement.Values) > 0) != bound || bound && !distinct[statement.SQL] && len(distinct) == maxPrepared {
			continue
		}
		distinct[statement.SQL] = true
		texts = append(texts, statement)
	}
	return texts
}

// messages appends what a client sends for one statement: a Query, or Bind, Execute and Sync, after a Parse if
// the statement is not prepared yet. named holds the names of the prepared statements by text.
func messages(out []byte, statement *workload.Statement, named map[string]string) []byte {
	if len(statement.Values) == 0 {
		return pgproto.AppendMessage(out, 'Q', pgproto.CString(statement.SQL))
	}
	name, ok := named[statement.SQL]
	if !ok {
		name = fmt.Sprintf("s%d", len(named))
		named[statement.SQL] = name
		types := append(binary.BigEndian.AppendUint16(nil, uint16(len(statement.Types)/4)), statement.Types...)
		out = pgproto.AppendMessage(out, 'P', pgproto.CString(name), pgproto.CString(statement.SQL), types)
	}
	body := binary.BigEndian.AppendUint16(nil, uint16(len(statement.Formats)/2))
	body = binary.BigEndian.AppendUint16(append(body, statement.Formats...), uint16(len(statement.Values)))
	for _, v := range statement.Values {
		if v == nil {
			body = append(body, pgproto.Int32(-1)...)
			continue
		}
		body = append(append(body, pgproto.Int32(len(v))...), v...)
	}
	out = pgproto.AppendMessage(out, 'B', []byte{0}, pgproto.CString(name), append(body, 0, 0))
	return pgproto.AppendMessage(pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(0)), 'S')
}

// costRound measures one round, after a warm-up with a fifth as many requests.
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
	if err := sendAll(ctx, addr, texts, opts.Clients, opts.Requests/5); err != nil { // warm up
		return res, err
	}
	before, err := cpu(g.Process.Pid)
	if err != nil {
		return res, err
	}
	start := time.Now()
	if err := sendAll(ctx, addr, texts, opts.Clients, opts.Requests); err != nil {
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

// sendAll sends requests from several clients, each one after the other, and returns the errors of all
// clients.
func sendAll(ctx context.Context, addr string, texts []workload.Statement, clients, requests int) error {
	var wg sync.WaitGroup
	errs := make(chan error, clients)
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs <- sendFrom(ctx, addr, texts, i*97, requests/clients)
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

// sendFrom sends requests on one connection, with the statements from an index on. It repeats refused
// requests: the gateway refuses while it knows no engine yet, and when it limits the load.
func sendFrom(ctx context.Context, addr string, texts []workload.Statement, from, requests int) error {
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
		case refused: // the gateway knows no engine yet, or limits the load
			time.Sleep(2 * time.Millisecond)
		default:
			done++
		}
	}
	return nil
}

// untilReady reads an answer up to ReadyForQuery, and reports whether it is a refusal (SQLSTATE 53000). It
// returns any other error of the server.
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

// cpu returns the CPU time that a process has used, from /proc/PID/stat, see proc(5).
func cpu(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 13 {
		return 0, fmt.Errorf("cannot read the CPU time of process %d: unexpected format of /proc/%d/stat", pid, pid)
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	const tick = 10 * time.Millisecond // USER_HZ is 100 on all platforms that Go supports
	return time.Duration(user+system) * tick, errors.Join(err1, err2)
}
