// Package simwire speaks the simulator's line protocol: batches of events in, actions out, for many gateways in one process. It
// holds no decisions.
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
	firstLineBuffer = 1 << 20   // bytes
	maxLine         = 256 << 20 // bytes
)

// Host holds the gateways of one process.
type Host struct {
	instances map[int64]*instance
	tables    [engineTables][]policy.Engine
	actions   []policy.Action
	output    []byte // of the open batch
}

// instance is one gateway.
type instance struct {
	gateway     *policy.Gateway
	reportNames []string // of a load report's values, in order
	failed      bool     // the policy has panicked: the day is over
}

// NewHost returns a host without gateways.
func NewHost() *Host { return &Host{instances: make(map[int64]*instance)} }

// batch is what Run knows of the batch that it reads.
type batch struct {
	number int64
	clock  time.Duration
	open   bool
}

// Run answers batches until the input ends. An end between batches is no error.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, firstLineBuffer), maxLine)
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

// handleLine reads one message. The end of a batch writes its reply.
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

// handleMessage starts or ends a gateway, keeps a list of engines, or hands an event to its gateway.
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
		m.faultf("who", "no instance %d", number)
		return
	}
	if m.name == "EXIT" {
		delete(h.instances, number)
		return
	}
	event := h.decodeEvent(in, m)
	if m.err != nil || event == nil || in.failed {
		return
	}
	h.output = h.handleEvent(number, in, now, event)
}

// handleEvent has a gateway decide, and returns the output with its actions. A panic there becomes a line of its own.
func (h *Host) handleEvent(number int64, in *instance, now time.Duration, event policy.Event) (output []byte) {
	output = h.output
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
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
		m.faultf("profile-data", "%v", err)
		return
	}
	h.instances[number] = &instance{gateway: gateway, reportNames: site.Reports}
}
