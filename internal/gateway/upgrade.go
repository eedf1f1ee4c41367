package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"
	"gannetspur/internal/queryshape"

	"golang.org/x/sys/unix"
)

// ownDescriptors is what a process needs beside its clients' connections.
const ownDescriptors = 64

// inherited is what a process that takes over has from the old one.
type inherited struct {
	ch       *handover.Channel
	listener *os.File
	conns    int
	check    bool
}

// takeOver tells whether this process was started to take over, and from whom.
func takeOver() (*inherited, error) {
	ch, ln, conns, check, ok, err := handover.Inherited()
	if !ok || err != nil {
		return nil, err
	}
	return &inherited{ch, ln, conns, check}, nil
}

// say says what this process is, and why it can't take over; "": it can. The old process sees
// its end where that can't be sent.
func (in *inherited) say(problem string) {
	_ = in.ch.Send(&handover.Hello{Major: handover.Version.Major, Minor: handover.Version.Minor, Problem: problem, Build: BuildName()})
}

// room tells whether the connections that wait for this process fit its limits.
func (in *inherited) room(most int) error {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	if need := uint64(in.conns + ownDescriptors); r.Cur < need {
		return fmt.Errorf("the limit on descriptors is %d; %d connections and what it needs itself take %d", r.Cur, in.conns, need)
	}
	if most > 0 && in.conns > most {
		return fmt.Errorf("its settings allow %d clients, and %d are connected", most, in.conns)
	}
	return nil
}

// takeOver begins to take over.
func (g *gateway) takeOver(in *inherited) error {
	if err := in.room(g.mostClients); err != nil {
		return err
	}
	if in.check {
		in.say("")
		return nil
	}
	ln, err := netio.Inherited(in.listener)
	if err != nil {
		return err
	}
	g.front.ListenOn(ln)
	g.new = handover.NewTarget(g.loop, g.core, g.front, in.ch, handover.TargetOptions{
		ApplyState: g.take, OnOwner: g.owner, Reload: g.readAgain,
		Abort: func() {
			g.failed = errors.New("it can't take over")
			g.loop.Stop()
		},
	}, g.counters, g.log)
	g.loop.Post(func() { g.new.Begin(BuildName()) })
	return nil
}

// know is what this process knows, for the one that takes over.
func (g *gateway) know() *handover.ProcessState {
	k := &handover.ProcessState{Core: g.core.Snapshot(), Counters: g.counters.All()}
	if g.event != nil {
		k.LastEvent = g.event()
	}
	k.Membership = g.carryFleet()
	if g.shapes != nil {
		var err error
		if k.QueryShapes, err = g.shapes.Encode(); err != nil {
			g.log.Warn("upgrade.shapes", "error", err)
		}
	}
	return k
}

// take takes what the old process knows.
func (g *gateway) take(k *handover.ProcessState) error {
	g.learn(k)
	for name, n := range k.Counters {
		g.counters.AddN(name, n)
	}
	g.follow(k)
	return nil
}

// learn goes on from what another process has learned.
func (g *gateway) learn(k *handover.ProcessState) {
	g.core.Restore(k.Core)
	if g.fleet != nil {
		g.fleet.opts.SavedState = k.Membership
	}
	if g.shapes == nil || len(k.QueryShapes) == 0 {
		return
	}
	if err := g.shapes.Restore(k.QueryShapes); err != nil { // it learns them anew; no reason to stay away
		g.log.Warn("upgrade.shapes", "error", err, "unusable", errors.Is(err, queryshape.ErrSnapshotVersion))
	}
}

// owner makes this process the one that operators and the service manager speak to.
func (g *gateway) owner() {
	g.tookOver = true
	g.log.Info("serving", "addr", g.front.Addr(), "took_over", true)
	notify(fmt.Sprintf("MAINPID=%d\nREADY=1\n", os.Getpid()))
	if err := g.linkSites(); err != nil { // as is this: it serves its own clients
		g.log.Error("sites", "error", err)
	}
	g.joinBeside()
	if err := g.admin(); err != nil { // it serves all the same
		g.log.Error("admin", "error", err)
	}
}

// admin opens the operators' socket.
func (g *gateway) admin() error {
	u := g.upgrade
	if u == nil {
		path := ""
		if g.fleet != nil {
			path = g.fleet.file.Admin
		}
		if g.sites != nil && g.sites.admin != "" {
			path = g.sites.admin
		}
		if path == "" {
			return nil
		}
		_, err := admin.Listen(path, g.answer)
		return err
	}
	path := u.Program
	if path == "" {
		path = g.self
	}
	g.old = handover.NewSource(g.loop, g.core, g.front, handover.SourceOptions{
		Program: handover.Program{Path: path, Args: os.Args[1:]}, Config: u.Decide(),
		State: g.know, Counters: g.counters.All, BeginShutdown: g.stop, OnHandedOver: g.takenOver, OnReturned: g.joinBeside, Exit: g.exit,
	}, g.counters, g.log)
	_, err := admin.Listen(u.Admin, g.answer)
	return err
}

// answer answers an operator. It runs on a goroutine of its own.
func (g *gateway) answer(r admin.Request, say func(admin.Reply)) {
	if g.old == nil && (r.Command == "upgrade" || r.Command == "check") {
		say(admin.Reply{Problem: "this gateway was started without a file of upgrades", Done: true})
		return
	}
	switch r.Command {
	case "members":
		say(g.adminMembers())
	case "site-status", "site-drain", "site-undrain":
		say(g.adminSite(r))
	case "status":
		done := make(chan *admin.Status, 1)
		g.loop.Post(func() { done <- g.status() })
		say(admin.Reply{Status: <-done, Done: true})
	case "upgrade":
		replies := make(chan admin.Reply, 16)
		g.loop.Post(func() {
			switch {
			case g.stopping:
				replies <- admin.Reply{Problem: "a planned stop is under way", Done: true}
				return
			case g.new != nil && !g.new.SourceExited():
				replies <- admin.Reply{Problem: "the latest upgrade is not through: the process before this one still answers what it had taken", Done: true}
				return
			}
			g.old.Upgrade(g.program(r), func(phase, why string, done bool) {
				select {
				case replies <- admin.Reply{Phase: phase, Problem: why, Done: done}:
				default: // nobody takes them
				}
			})
		})
		for reply := range replies {
			if say(reply); reply.Done {
				return
			}
		}
	case "check":
		type state struct {
			p     handover.Program
			file  *os.File
			conns int
			err   error
		}
		now := make(chan state, 1)
		g.loop.Post(func() {
			f, err := g.front.Listener().File()
			now <- state{g.program(r), f, g.loop.Open(), err}
		})
		s := <-now
		if s.err != nil {
			say(admin.Reply{Problem: s.err.Error(), Done: true})
			return
		}
		defer s.file.Close()
		build, err := handover.CheckProgram(s.p, s.file, s.conns, g.upgrade.Decide().GreetTimeout)
		reply := admin.Reply{Build: build, Done: true}
		if err != nil {
			reply.Problem = err.Error()
		}
		say(reply)
	default:
		say(admin.Reply{Problem: fmt.Sprintf("there is nothing called %q; wanted is status, upgrade, check, site-status, site-drain or site-undrain", r.Command), Done: true})
	}
}

// program is what an operator wants started.
func (g *gateway) program(r admin.Request) handover.Program {
	p := g.old.Program()
	if r.Program != "" {
		p.Path = r.Program
	}
	if len(r.Args) > 0 {
		p.Args = r.Args
	}
	return p
}

func (g *gateway) status() *admin.Status {
	if g.shapes != nil {
		g.shapes.UpdateMetrics()
	}
	return &admin.Status{
		PID: os.Getpid(), Build: BuildName(), Frontend: g.front.Name(), Listen: g.front.Addr(), Phase: g.phase(), TookOver: g.tookOver,
		UptimeSeconds: (g.loop.Now() - g.since).Seconds(), Connections: g.loop.Open(), Unanswered: g.core.Unanswered(), Counters: g.counters.All(),
	}
}

// phase is that of an upgrade.
func (g *gateway) phase() string {
	if g.old == nil {
		return "off"
	}
	return g.old.Phase()
}

// upgradable reads the file that says how to upgrade, if there is one.
func (g *gateway) upgradable(path string) (err error) {
	if path == "" {
		return nil
	}
	if g.upgrade, err = config.LoadUpgrade(path); err != nil {
		return err
	}
	// By its name, not by what runs: an upgrade puts another file under it.
	if g.self, err = exec.LookPath(os.Args[0]); err == nil {
		g.self, err = filepath.Abs(g.self)
	}
	if err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return nil
}

// notify tells a service manager of a state, where it has asked for that (sd_notify(3)).
func notify(state string) {
	path := os.Getenv("NOTIFY_SOCKET")
	if path == "" {
		return
	}
	if path[0] == '@' {
		path = "\x00" + path[1:]
	}
	c, err := net.DialTimeout("unixgram", path, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = c.Write([]byte(state)) // it is a courtesy
}
