package gateway

import (
	"errors"
	"fmt"
	"os"

	"gannetspur/internal/handover"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// ownDescriptors is what a process needs beside its clients' connections.
const ownDescriptors = 64

var errCannotTakeOver = errors.New("it can't take over")

// inheritance is what a process that was started by an upgrade has from the source.
type inheritance struct{ *handover.Inheritance }

// inheritFromSource returns what this process was started with by an upgrade; nil: it was started by itself.
func inheritFromSource() (*inheritance, error) {
	in, err := handover.Inherit()
	if in == nil || err != nil {
		return nil, err
	}
	return &inheritance{in}, nil
}

// sendHello tells the source what this process is, and why it can't take over; "": it can. Where that can't be sent, the source
// sees the end of this process.
func (in *inheritance) sendHello(problem string) {
	_ = in.Channel.Send(&handover.Hello{
		Major:   handover.Version.Major,
		Minor:   handover.Version.Minor,
		Problem: problem,
		Build:   BuildName(),
	})
}

// checkLimits returns an error if the connections that wait don't fit this process's limits.
func (in *inheritance) checkLimits(maxClients int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	needed := uint64(in.Connections + ownDescriptors)
	if limit.Cur < needed {
		return fmt.Errorf("the limit on descriptors is %d; %d connections and what it needs itself take %d", limit.Cur, in.Connections, needed)
	}
	if maxClients > 0 && in.Connections > maxClients {
		return fmt.Errorf("its settings allow %d clients, and %d are connected", maxClients, in.Connections)
	}
	return nil
}

// startTarget begins to take over, or says that it could.
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
	p.loop.Post(func() { p.target.Begin(BuildName()) })
	return nil
}

// applySourceState goes on from what the source knew; its counters go on too.
func (p *process) applySourceState(state *handover.ProcessState) error {
	p.restore(state)
	for name, n := range state.Counters {
		p.counters.AddN(name, n)
	}
	p.protocol.watchEndpoints(state)
	return nil
}

// becomeOwner makes this process the one that operators and the service manager speak to. It serves its clients whatever
// else fails.
func (p *process) becomeOwner() {
	p.tookOver = true
	p.log.Info("serving", "addr", p.protocol.frontend().Addr(), "took_over", true)
	notifyServiceManager(fmt.Sprintf("MAINPID=%d\nREADY=1\n", os.Getpid()))
	if err := p.startSites(); err != nil {
		p.log.Error("sites", "error", err)
	}
	p.resumeMember()
	if err := p.openAdmin(); err != nil {
		p.log.Error("admin", "error", err)
	}
}
