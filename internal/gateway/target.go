package gateway

import (
	"errors"
	"fmt"
	"os"

	"gannetspur/internal/handover"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// overheadDescriptors is the number of descriptors that a process needs in addition to client connections.
const overheadDescriptors = 64

var errCannotTakeOver = errors.New("the process cannot take over")

// inheritance is what a process started by an upgrade gets from the source, the process that it replaces.
type inheritance struct{ *handover.Inheritance }

// inheritFromSource returns the inheritance of this process; nil means that it was not started by an upgrade.
func inheritFromSource() (*inheritance, error) {
	in, err := handover.Inherit()
	if in == nil || err != nil {
		return nil, err
	}
	return &inheritance{in}, nil
}

// sendHello sends the source this program's version and the reason why it cannot take over; "" means that it can. Send
// errors are ignored, because the source notices when this process exits.
func (in *inheritance) sendHello(problem string) {
	_ = in.Channel.Send(&handover.Hello{
		Major:   handover.Version.Major,
		Minor:   handover.Version.Minor,
		Problem: problem,
		Build:   BuildName(),
	})
}

// checkLimits returns an error if the source's connections exceed this process's limits.
func (in *inheritance) checkLimits(maxClients int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptor limit: %w", err)
	}
	needed := uint64(in.Connections + overheadDescriptors)
	if limit.Cur < needed {
		return fmt.Errorf("the descriptor limit is %d, but %d connections and the process itself need %d", limit.Cur, in.Connections, needed)
	}
	if maxClients > 0 && in.Connections > maxClients {
		return fmt.Errorf("its settings allow %d clients, but %d are connected", maxClients, in.Connections)
	}
	return nil
}

// startTarget starts to take over, or only reports that this process could if that is all the source asks.
func (p *process) startTarget(in *inheritance) error {
	if err := in.checkLimits(p.limits.maxClients); err != nil {
		return err
	}
	if in.CheckOnly {
		in.sendHello("")
		return nil
	}
	listener, err := netio.InheritListener(in.Listener)
	if err != nil {
		return err
	}
	p.protocol.frontend().ListenOn(listener)
	p.target = handover.NewTarget(p.loop, p.core, p.protocol.frontend(), in.Channel, handover.TargetOptions{
		ApplyState: p.applySourceState,
		OnOwner:    p.becomeOwner,
		Reload:     p.reload,
		Abort:      func() { p.fail(errCannotTakeOver) },
	}, p.counters, p.log)
	p.loop.Post(func() { p.target.Start(BuildName()) })
	return nil
}

// applySourceState applies the source's state, adds its counters and starts to watch the endpoint list.
func (p *process) applySourceState(state *handover.ProcessState) error {
	p.restore(state)
	for name, n := range state.Counters {
		p.counters.AddN(name, n)
	}
	p.protocol.watchEndpoints(state)
	return nil
}

// becomeOwner makes this process the one that operators and the service manager deal with. Errors are only logged: the
// process keeps serving its clients.
func (p *process) becomeOwner() {
	p.tookOver = true
	p.log.Info("serving", "addr", p.protocol.frontend().Addr(), "took_over", true)
	notifyServiceManager(fmt.Sprintf("MAINPID=%d\nREADY=1\n", os.Getpid()))
	if err := p.startSites(); err != nil {
		p.log.Error("sites", "error", err)
	}
	p.resumeMembership()
	if err := p.openAdmin(); err != nil {
		p.log.Error("admin", "error", err)
	}
}
