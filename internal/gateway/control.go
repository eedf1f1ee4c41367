package gateway

import (
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
	ln, err := netio.Inherited(os.NewFile(uintptr(fd), "LB_ACCEPT_FD"))
	if err != nil {
		return nil, fmt.Errorf("LB_ACCEPT_FD: descriptor %d: %w", fd, err)
	}
	return ln, nil
}

// spareFiles is what stays free of descriptors for files, and for signals and clocks of the runtime.
const spareFiles = 6

// openControl opens the control endpoint, where there is an address for it.
func (g *gateway) openControl() error {
	if g.control == "" {
		return nil
	}
	d, err := control.Open(g.loop, g.control, operations{g}, g.counters)
	if err != nil {
		return err
	}
	g.log.Info("control", "addr", d.Addr())
	return nil
}

// limitFiles keeps descriptors for the event bus, the control endpoint and files from all other connections.
func (g *gateway) limitFiles() {
	spare := spareFiles + netio.KeptFiles
	if g.control != "" {
		spare += control.Descriptors
	}
	if g.sockets > 0 {
		if err := g.loop.LimitFiles(g.sockets, spare); err != nil { // it serves all the same
			g.log.Warn("descriptors.uncounted", "error", err)
		}
	}
}

// operations are what operators ask for.
type operations struct{ g *gateway }

func (d operations) Ready() (bool, string) {
	switch {
	case d.g.stopping:
		return false, "it is stopping"
	case !d.g.ready:
		return false, "it does not serve yet"
	}
	return true, ""
}

func (d operations) Figures() core.Figures {
	f := d.g.core.Figures()
	f.Peers = d.g.peers()
	return f
}

func (d operations) DisableEngine(id string) error { return d.g.core.DisableEngine(id) }

func (d operations) EnableEngine(id string) error { return d.g.core.EnableEngine(id) }
