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

// platformSocket is the clients' listening socket, where the platform holds it and every
// process inherits it ($LB_ACCEPT_FD); nil: this process opens its own.
func platformSocket() (*netio.Listener, error) {
	text := os.Getenv("LB_ACCEPT_FD")
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("LB_ACCEPT_FD: %q is no descriptor of an inherited socket", text)
	}
	ln, err := netio.InheritListener(os.NewFile(uintptr(fd), "LB_ACCEPT_FD"))
	if err != nil {
		return nil, fmt.Errorf("LB_ACCEPT_FD: descriptor %d: %w", fd, err)
	}
	return ln, nil
}

// spareDescriptors stay free for files, and for signals and clocks of the runtime.
const spareDescriptors = 6

// openControl opens the control endpoint, where there is an address for it.
func (p *process) openControl() error {
	if p.control == "" {
		return nil
	}
	server, err := control.Open(p.loop, p.control, operations{p}, p.counters)
	if err != nil {
		return err
	}
	p.log.Info("control", "addr", server.Addr())
	return nil
}

// reserveDescriptors keeps descriptors for the event bus, the control endpoint and files from all other connections of the
// platform's frontend.
func (p *process) reserveDescriptors() {
	_, isPlatform := p.protocol.(*platformProtocol)
	if !isPlatform || p.limits.sockets <= 0 {
		return
	}
	spare := spareDescriptors + netio.ReservedDescriptors
	if p.control != "" {
		spare += control.Descriptors
	}
	if err := p.loop.LimitDescriptors(p.limits.sockets, spare); err != nil { // it serves all the same
		p.log.Warn("descriptors.uncounted", "error", err)
	}
}

// operations are what operators call at the control endpoint.
type operations struct{ process *process }

var (
	errStopping   = errors.New("it is stopping")
	errNotServing = errors.New("it does not serve yet")
)

// Ready returns nil if this process serves, or why it does not.
func (o operations) Ready() error {
	switch {
	case o.process.stopping:
		return errStopping
	case !o.process.ready:
		return errNotServing
	}
	return nil
}

// Figures are what operators read.
func (o operations) Figures() core.Figures {
	figures := o.process.core.Figures()
	figures.Peers = o.process.peerFigures()
	return figures
}

func (o operations) DisableEngine(id string) error { return o.process.core.DisableEngine(id) }

func (o operations) EnableEngine(id string) error { return o.process.core.EnableEngine(id) }
