package gateway

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"gannetspur/internal/control"
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
)

// platformSocket returns the clients' listening socket if the platform holds it and passes it to
// every process it starts ($LB_ACCEPT_FD). It returns nil if this process is to open its own.
func platformSocket() (*netio.Listener, error) {
	text := os.Getenv("LB_ACCEPT_FD")
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("LB_ACCEPT_FD: %q is not the descriptor of an inherited socket", text)
	}
	ln, err := netio.InheritListener(os.NewFile(uintptr(fd), "LB_ACCEPT_FD"))
	if err != nil {
		return nil, fmt.Errorf("LB_ACCEPT_FD: descriptor %d: %w", fd, err)
	}
	return ln, nil
}

// spareDescriptors is the number of descriptors kept free for files, and for the signals and timers of the Go runtime.
const spareDescriptors = 6

// openControl opens the control endpoint if an address is configured.
func (p *process) openControl() error {
	if p.control == "" {
		return nil
	}
	server, err := control.Open(p.loop, p.control, controlOperations{p}, p.counters)
	if err != nil {
		return err
	}
	p.log.Info("control", "addr", server.Addr())
	return nil
}

// reserveDescriptors sets descriptors aside for the event bus, the control endpoint and files, so that connections of the
// platform's frontend cannot use them up.
func (p *process) reserveDescriptors() {
	_, isPlatform := p.protocol.(*platformProtocol)
	if !isPlatform || p.limits.maxDescriptors <= 0 {
		return
	}
	spare := spareDescriptors + netio.ReservedDescriptors
	if p.control != "" {
		spare += control.Descriptors
	}
	if err := p.loop.LimitDescriptors(p.limits.maxDescriptors, spare); err != nil { // not fatal: it serves without the reserve
		p.log.Warn("descriptors.uncounted", "error", err)
	}
}

// controlOperations implements control.Gateway.
type controlOperations struct{ process *process }

var (
	errStopping   = errors.New("shutting down")
	errNotServing = errors.New("not serving yet")
)

// Ready returns nil if this process serves clients, or the reason why it does not.
func (o controlOperations) Ready() error {
	switch {
	case o.process.stopping:
		return errStopping
	case !o.process.ready:
		return errNotServing
	}
	return nil
}

// Stats returns the statistics of this process.
func (o controlOperations) Stats() core.Stats {
	stats := o.process.core.Stats()
	stats.Peers = o.process.peerStats()
	return stats
}

// DisableEngine stops sending requests to an engine.
func (o controlOperations) DisableEngine(id string) error { return o.process.core.DisableEngine(id) }

// EnableEngine undoes DisableEngine.
func (o controlOperations) EnableEngine(id string) error { return o.process.core.EnableEngine(id) }
