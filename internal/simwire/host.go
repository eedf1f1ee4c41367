// Package simwire implements the simulator's line protocol. It reads batches of events, passes them to
// the policies of many gateways in one process, and writes the resulting actions. Each line is a
// message: a JSON array of a name and its values.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"gannetspur/internal/config"
	"gannetspur/policy"
)

const (
	initialLineBuffer = 1 << 20   // initial size of the buffer for an input line, in bytes
	maxLineLength     = 256 << 20 // longest input line, in bytes
)

// Host runs the gateways of one process.
type Host struct {
	instances map[int64]*instance               // by number
	tables    [engineTableCount][]policy.Engine // lists of engines, by number
	actions   []policy.Action                   // buffer reused by each event
	output    []byte                            // reply to the open batch
}

// instance is one gateway of a host.
type instance struct {
	gateway     *policy.Gateway
	reportNames []string // names of a load report's values, in order
	panicked    bool     // the policy panicked; further events are ignored
}

// NewHost returns a host without gateways.
func NewHost() *Host { return &Host{instances: make(map[int64]*instance)} }

// batch is the state of the batch that Run is reading.
type batch struct {
	number int64
	clock  time.Duration // time of the batch's events
	open   bool          // whether the end of the batch is still to come
}

// Run reads batches and writes replies until the input ends. It returns an error for an invalid
// message, a failed read or write, or an end of the input within a batch.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, initialLineBuffer), maxLineLength)
	w := bufio.NewWriter(out)
	var b batch
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := h.handleLine(scanner.Bytes(), &b, w); err != nil {
			return fmt.Errorf("batch %d: %w", b.number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("batch %d: read: %w", b.number, err)
	}
	if b.open {
		return fmt.Errorf("batch %d: input ended inside the batch", b.number)
	}
	return nil
}

// handleLine handles one message. At the end of a batch it writes the reply.
func (h *Host) handleLine(line []byte, b *batch, w *bufio.Writer) error {
	m, err := parseMessage(line)
	if err != nil {
		return err
	}
	switch {
	case m.name == "CLOCK" && b.open:
		return errors.New("CLOCK: batch still open")
	case m.name == "CLOCK":
		b.clock = config.FromMS(m.float(0, "clock-ms"))
		b.number = m.integer(1, "batch")
		b.open = true
		h.output = h.output[:0]
	case !b.open:
		return fmt.Errorf("%s: no batch is open", m.name)
	case m.name == "OVER_TO_YOU":
		b.open = false
		h.output = fmt.Appendf(h.output, "[\"NEXT\",%d]\n", b.number)
		if _, err := w.Write(h.output); err != nil {
			return err
		}
		return w.Flush()
	default:
		h.handleMessage(b.clock, m)
	}
	return m.err
}

// handleMessage starts or ends a gateway, stores a list of engines, or passes an event to a gateway.
func (h *Host) handleMessage(now time.Duration, m *message) {
	switch m.name {
	case "INIT":
		h.startInstance(m)
		return
	case "POOL":
		h.readTable(m)
		return
	}
	number := m.integer(0, "who")
	if m.err != nil {
		return
	}
	in := h.instances[number]
	if in == nil {
		m.errorf("who", "no instance %d", number)
		return
	}
	if m.name == "EXIT" {
		delete(h.instances, number)
		return
	}
	event := h.decodeEvent(in, m)
	if m.err != nil || event == nil || in.panicked {
		return
	}
	h.output = h.handleEvent(number, in, now, event)
}

// handleEvent passes an event to a gateway and returns the output with the resulting actions appended.
// If the policy panics, a BROKEN message takes the place of the actions.
func (h *Host) handleEvent(number int64, in *instance, now time.Duration, event policy.Event) (output []byte) {
	output = h.output
	defer func() {
		if p := recover(); p != nil {
			in.panicked = true
			output = beginLine(h.output, "BROKEN", number).text(fmt.Sprint(p)).end()
		}
	}()
	h.actions = in.gateway.Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		output = appendAction(output, number, action)
	}
	return output
}

func (h *Host) startInstance(m *message) {
	number := m.integer(0, "who")
	seed := m.id("prng")
	var site config.Site
	m.decode(2, "profile-data", &site)
	if m.err != nil {
		return
	}
	gateway, err := policy.New(site.Policy, seed)
	if err != nil {
		m.errorf("profile-data", "%v", err)
		return
	}
	h.instances[number] = &instance{gateway: gateway, reportNames: site.Reports}
}
