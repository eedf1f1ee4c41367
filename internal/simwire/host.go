// Package wire speaks the line protocol of the bench: batches of events in,
// actions out, for many gateways in one process. It holds no decisions.
package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"gannetspur/internal/config"
	"gannetspur/policy"
)

const maxLine = 256 << 20

// Host holds the gateways of one process.
type Host struct {
	gateways map[int64]*instance
	tables   [16][]policy.Engine
	actions  []policy.Action
	out      []byte
}

type instance struct {
	gateway *policy.Gateway
	reports []string
	// dead is set once the module has panicked; the day is over then.
	dead bool
}

// NewHost returns a host without gateways.
func NewHost() *Host { return &Host{gateways: make(map[int64]*instance)} }

// Run answers batches until the input ends. An end between batches is no error.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 1<<20), maxLine)
	w := bufio.NewWriter(out)
	open, batch := false, int64(0)
	var clock float64
	for sc.Scan() {
		line := sc.Bytes()
		if len(line) == 0 {
			continue
		}
		f, err := split(line)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		switch {
		case f.name == "CLOCK" && !open:
			clock, batch = f.float(0, "clock-ms"), f.integer(1, "batch")
			open, h.out = true, h.out[:0]
		case f.name == "CLOCK":
			return fmt.Errorf("batch %d: CLOCK: batch still open", batch)
		case !open:
			return fmt.Errorf("batch %d: %s: no batch is open", batch, f.name)
		case f.name == "OVER_TO_YOU":
			h.out = append(h.out, fmt.Sprintf("[\"NEXT\",%d]\n", batch)...)
			if _, err := w.Write(h.out); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
			open = false
		default:
			h.event(fromMS(clock), f)
		}
		if err := f.err; err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("batch %d: read: %w", batch, err)
	}
	if open {
		return fmt.Errorf("batch %d: input ended inside the batch", batch)
	}
	return nil
}

// fields is one message: its name and its values, with the first fault found.
type fields struct {
	name string
	vals []json.RawMessage
	err  error
}

func split(line []byte) (*fields, error) {
	var all []json.RawMessage
	if err := json.Unmarshal(line, &all); err != nil {
		return nil, fmt.Errorf("malformed line: %w", err)
	}
	if len(all) == 0 {
		return nil, errors.New("malformed line: empty array")
	}
	var name string
	if err := json.Unmarshal(all[0], &name); err != nil {
		return nil, fmt.Errorf("malformed line: message name: %w", err)
	}
	return &fields{name: name, vals: all[1:]}, nil
}

func (f *fields) fault(field, format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: %s", f.name, field, fmt.Sprintf(format, args...))
	}
}

// get decodes value i into p; null or missing leaves p alone where optional.
func (f *fields) get(i int, field string, optional bool, p any) {
	if i >= len(f.vals) || string(f.vals[i]) == "null" {
		if !optional {
			f.fault(field, "missing")
		}
		return
	}
	if err := json.Unmarshal(f.vals[i], p); err != nil {
		f.fault(field, "%v", err)
	}
}

func (f *fields) float(i int, field string) (v float64) { f.get(i, field, false, &v); return }
func (f *fields) integer(i int, field string) (v int64) { f.get(i, field, false, &v); return }
func (f *fields) id(i int, field string) (v uint64)     { f.get(i, field, false, &v); return }
func (f *fields) text(i int, field string) (v string)   { f.get(i, field, false, &v); return }
func (f *fields) flag(i int, field string) (v bool)     { f.get(i, field, false, &v); return }

// event decodes one message and hands it to its gateway.
func (h *Host) event(now duration, f *fields) {
	switch f.name {
	case "INIT":
		h.start(f)
		return
	case "POOL":
		h.pool(f)
		return
	}
	who := f.integer(0, "who")
	if f.err != nil {
		return
	}
	in := h.gateways[who]
	if in == nil {
		f.fault("who", "no instance %d", who)
		return
	}
	if f.name == "EXIT" {
		delete(h.gateways, who)
		return
	}
	ev := h.decode(in, f)
	if f.err != nil || ev == nil || in.dead {
		return
	}
	h.out = h.handle(who, in, now, ev)
}

// handle runs the module; a panic in it becomes a BROKEN line.
func (h *Host) handle(who int64, in *instance, now duration, ev policy.Event) (out []byte) {
	out = h.out
	defer func() {
		if p := recover(); p != nil {
			in.dead = true
			out = line(h.out, "BROKEN", who).str(fmt.Sprint(p)).end()
		}
	}()
	h.actions = in.gateway.Handle(now, ev, h.actions[:0])
	for _, a := range h.actions {
		out = encode(out, who, a)
	}
	return out
}

func (h *Host) start(f *fields) {
	who, seed := f.integer(0, "who"), f.id(1, "prng")
	var s config.Site
	f.get(2, "profile-data", false, &s)
	if f.err != nil {
		return
	}
	g, err := policy.New(s.Policy, seed)
	if err != nil {
		f.fault("profile-data", "%v", err)
		return
	}
	h.gateways[who] = &instance{gateway: g, reports: s.Reports}
}

func (h *Host) pool(f *fields) {
	n := f.integer(0, "table")
	if f.err == nil && (n < 0 || n >= int64(len(h.tables))) {
		f.fault("table", "%d is not within 0 to %d", n, len(h.tables)-1)
	}
	var rows [][]json.RawMessage
	f.get(1, "elements", false, &rows)
	if f.err != nil {
		return
	}
	list := make([]policy.Engine, len(rows))
	for i, row := range rows {
		e := &fields{name: "POOL", vals: row}
		list[i] = e.engine()
		if e.err != nil {
			f.fault("elements", "entry %d: %v", i, e.err)
			return
		}
	}
	h.tables[n] = list
}

func (f *fields) engine() policy.Engine {
	e := policy.Engine{Zone: f.text(0, "zone"), Kind: f.text(1, "family-type"), ID: f.text(2, "engine")}
	f.get(3, "cluster", true, &e.Cell)
	var started float64
	f.get(4, "last-start-ms", true, &started)
	e.Started, e.StartKnown = fromMS(started), started > 0
	switch state := f.text(6, "availability"); state {
	case "live":
		e.State = policy.EngineLive
	case "quiescing":
		e.State = policy.EngineDraining
	case "dead":
		e.State = policy.EngineDeparted
	default:
		f.fault("availability", "unknown state %q", state)
	}
	return e
}
