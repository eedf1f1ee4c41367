package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/membership"
	"gannetspur/internal/membership"
)

// fleet is what a gateway has of other front ends.
type fleet struct {
	path    string
	file    *config.Fleet
	opts    membership.Options
	service *membership.Service // nil: it has not begun, words are not allowed, or another process is the member
	waits   bool                // for the address, which another process has
}

// openFleet reads the file of the fleet, if there is one. The member begins later, once this process serves.
func (g *gateway) openFleet(path string) error {
	if path == "" || g.loop == nil {
		return nil
	}
	f, err := config.LoadFleet(path)
	if err != nil {
		return err
	}
	g.fleet = &fleet{path: path, file: f}
	opts := &g.fleet.opts
	opts.Config, opts.Random = f.Decide(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if f.Peers == "platform" {
		return g.platformMembers(opts)
	}
	own := netip.MustParseAddrPort(f.Listen) // the file was checked
	opts.Listen, opts.Self = f.Listen, idOf(own)
	for _, s := range f.Seeds {
		opts.Named = append(opts.Named, idOf(netip.MustParseAddrPort(s)))
	}
	opts.AddressOf = func(id decide.ID) (netip.AddrPort, bool) { return addrOf(id), true }
	opts.MemberAt = func(a netip.AddrPort) (decide.ID, bool) { return idOf(a), a.Addr().Is4() && a.Port() > 0 }
	opts.Keys = membership.NewKeyring(own, keysOf(f))
	return nil
}

// idOf makes a member's name of its address, so that who tells of a member tells where it is.
func idOf(a netip.AddrPort) decide.ID {
	b := a.Addr().As4()
	return decide.ID(b[0])<<40 | decide.ID(b[1])<<32 | decide.ID(b[2])<<24 | decide.ID(b[3])<<16 | decide.ID(a.Port())
}

func addrOf(id decide.ID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(id >> 40), byte(id >> 32), byte(id >> 24), byte(id >> 16)}), uint16(id))
}

// platformMembers are the front ends of the tier, by their places in the platform's configuration.
func (g *gateway) platformMembers(opts *membership.Options) error {
	c := g.words
	switch {
	case c == nil:
		return config.Fault{File: g.fleet.path, Field: "peers", Want: "the platform's front alone has them from a configuration"}
	case !c.Site.MayTell || c.PeerListen == "" || len(c.Peers) == 0:
		return nil // off: front ends send each other nothing there
	}
	places := map[netip.AddrPort]decide.ID{}
	var addrs []netip.AddrPort
	for i, p := range c.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return fmt.Errorf("configuration: peers[%d]: %w", i, err)
		}
		addrs = append(addrs, a)
		places[a] = decide.ID(i + 1)
		opts.Named = append(opts.Named, decide.ID(i+1))
		if p == c.PeerListen {
			opts.Self = decide.ID(i + 1)
		}
	}
	if opts.Self == 0 {
		return errors.New("configuration: peer_listen is not among peers")
	}
	opts.Listen, opts.Config.Closed = c.PeerListen, true
	opts.AddressOf = func(id decide.ID) (a netip.AddrPort, ok bool) {
		if id < 1 || int(id) > len(addrs) {
			return a, false
		}
		return addrs[id-1], true
	}
	opts.MemberAt = func(a netip.AddrPort) (decide.ID, bool) { id, ok := places[a]; return id, ok }
	return nil
}

func keysOf(f *config.Fleet) (keys []membership.Key) {
	for _, k := range f.Keys {
		keys = append(keys, membership.Key{Number: uint8(k.Number), Secret: k.Secret})
	}
	return keys
}

// join begins to be a member.
func (g *gateway) join() (err error) {
	if g.fleet == nil {
		return nil
	}
	if g.fleet.opts.Listen == "" {
		g.log.Info("members.off", "why", "the configuration does not allow words among front ends")
		return nil
	}
	g.fleet.service, err = membership.Start(g.loop, g.fleet.opts, g.counters, g.log)
	if err == nil {
		g.fleet.waits = false
		g.log.Info("members", "addr", g.fleet.service.Addr(), "self", uint64(g.fleet.opts.Self), "named", len(g.fleet.opts.Named), "carried", len(g.fleet.opts.SavedState) > 0)
	}
	return err
}

// joinEvery is how often a process looks whether the one before it has let go of the member's address: a beat is not missed.
const joinEvery = 50 * time.Millisecond

// joinBeside goes on as the member that the process before this one was, once that one has let go of its address, or has died.
// Whatever stands against it, this process serves.
func (g *gateway) joinBeside() {
	if g.fleet == nil || g.fleet.service != nil || g.stopping {
		return
	}
	err := g.join()
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		if !g.fleet.waits {
			g.fleet.waits = true
			g.log.Info("members.waits", "for", g.fleet.opts.Listen)
		}
		g.loop.Timers.Add(g.loop.Now()+joinEvery, g.joinBeside)
	case err != nil:
		g.log.Error("members.failed", "error", err, "then", "it serves, and is no member")
	}
}

// member is what this process is among others; nil: it is none, at present.
func (g *gateway) member() *membership.Service {
	if g.fleet == nil {
		return nil
	}
	return g.fleet.service
}

// carryFleet is what this process knows of the fleet; nil: it is no member.
func (g *gateway) carryFleet() []byte {
	m := g.member()
	if m == nil {
		return nil
	}
	b, err := m.SaveState()
	if err != nil { // the next one begins as after a restart
		g.log.Error("members.carried", "error", err)
	}
	return b
}

// handOnFleet lets the process that serves in this one's place be the member. Where that one dies while this one lives, this
// one goes on from what it knows now.
func (g *gateway) handOnFleet() {
	m := g.member()
	if m == nil {
		return
	}
	g.fleet.opts.SavedState = g.carryFleet()
	m.HandOver()
	g.fleet.service = nil
}

// leaveFleet tells the others that this front end stops.
func (g *gateway) leaveFleet() {
	if m := g.member(); m != nil {
		m.Leave()
	}
}

// peers are the figures at the control endpoint; nil: it is no member.
func (g *gateway) peers() *core.PeerFigures {
	m := g.member()
	if m == nil {
		return nil
	}
	f := m.Stats()
	return &core.PeerFigures{Live: f.Live, Known: f.Named, Unreachable: f.PartlyReachable, Dead: f.Dead + f.Unreachable, ViewNumber: int(f.View.Number), Majority: f.Majority}
}

// reloadFleet has the keys read again. All else holds from the start on.
func (g *gateway) reloadFleet() error {
	if g.fleet == nil || g.fleet.opts.Keys == nil {
		return nil
	}
	f, err := config.LoadFleet(g.fleet.path)
	if err == nil {
		g.fleet.opts.Keys.Replace(keysOf(f))
	}
	return err
}

// adminMembers answers an operator. It runs on a goroutine of its own.
func (g *gateway) adminMembers() admin.Reply {
	done := make(chan admin.Reply, 1)
	g.loop.Post(func() {
		m := g.member()
		if m == nil {
			done <- admin.Reply{Problem: "this gateway is no member among others", Done: true}
			return
		}
		raw, err := json.Marshal(m.Overview())
		r := admin.Reply{Membership: raw, Done: true}
		if err != nil {
			r.Problem = err.Error()
		}
		done <- r
	})
	return <-done
}
