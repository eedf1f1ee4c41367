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

// membershipNode is what a gateway has that is a member among other front ends.
type membershipNode struct {
	path    string
	file    *config.Fleet
	options membership.Options
	service *membership.Service // nil: it has not begun, messages are not allowed, or another process is the member
	waiting bool                // for the address, which another process has
}

// loadMembership reads the file of the fleet, if there is one. The member begins once this process serves.
func (p *process) loadMembership(path string) error {
	if path == "" || p.loop == nil {
		return nil
	}
	file, err := config.LoadFleet(path)
	if err != nil {
		return err
	}
	p.members = &membershipNode{path: path, file: file}
	options := &p.members.options
	options.Config = file.Decide()
	options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if file.Peers == "platform" {
		return p.platformMembers(options)
	}
	own := netip.MustParseAddrPort(file.Listen) // the file was checked
	options.Listen = file.Listen
	options.Self = memberID(own)
	for _, seed := range file.Seeds {
		options.Named = append(options.Named, memberID(netip.MustParseAddrPort(seed)))
	}
	options.AddressOf = func(id decide.ID) (netip.AddrPort, bool) { return memberAddress(id), true }
	options.MemberAt = func(a netip.AddrPort) (decide.ID, bool) { return memberID(a), a.Addr().Is4() && a.Port() > 0 }
	options.Keys = membership.NewKeyring(own, membershipKeys(file))
	return nil
}

// memberID makes a member's id of its address, so that whoever names a member says where it is.
func memberID(address netip.AddrPort) decide.ID {
	b := address.Addr().As4()
	return decide.ID(b[0])<<40 | decide.ID(b[1])<<32 | decide.ID(b[2])<<24 | decide.ID(b[3])<<16 | decide.ID(address.Port())
}

func memberAddress(id decide.ID) netip.AddrPort {
	ip := [4]byte{byte(id >> 40), byte(id >> 32), byte(id >> 24), byte(id >> 16)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(id))
}

// platformMembers takes the members from the platform's configuration. An id is a member's place in its list, from 1.
func (p *process) platformMembers(options *membership.Options) error {
	platform, ok := p.protocol.(*platformProtocol)
	if !ok {
		return config.Fault{File: p.members.path, Field: "peers", Want: "the platform's front alone has them from a configuration"}
	}
	cfg := platform.config
	if !cfg.Site.PeersAllowed || cfg.PeerListen == "" || len(cfg.Peers) == 0 {
		return nil // front ends send each other nothing there
	}
	ids := map[netip.AddrPort]decide.ID{}
	var addresses []netip.AddrPort
	for i, peer := range cfg.Peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fmt.Errorf("configuration: peers[%d]: %w", i, err)
		}
		id := decide.ID(i + 1)
		addresses = append(addresses, address)
		ids[address] = id
		options.Named = append(options.Named, id)
		if peer == cfg.PeerListen {
			options.Self = id
		}
	}
	if options.Self == 0 {
		return errors.New("configuration: peer_listen is not among peers")
	}
	options.Listen = cfg.PeerListen
	options.Config.Closed = true
	options.AddressOf = func(id decide.ID) (netip.AddrPort, bool) {
		if id < 1 || int(id) > len(addresses) {
			return netip.AddrPort{}, false
		}
		return addresses[id-1], true
	}
	options.MemberAt = func(address netip.AddrPort) (decide.ID, bool) {
		id, known := ids[address]
		return id, known
	}
	return nil
}

func membershipKeys(file *config.Fleet) []membership.Key {
	var keys []membership.Key
	for _, key := range file.Keys {
		keys = append(keys, membership.Key{Number: uint8(key.Number), Secret: key.Secret})
	}
	return keys
}

// startMember begins to be a member.
func (p *process) startMember() error {
	if p.members == nil {
		return nil
	}
	options := p.members.options
	if options.Listen == "" {
		p.log.Info("members.off", "why", "the configuration does not allow messages among front ends")
		return nil
	}
	service, err := membership.Start(p.loop, options, p.counters, p.log)
	if err != nil {
		return err
	}
	p.members.service = service
	p.members.waiting = false
	p.log.Info("members", "addr", service.Addr(), "self", uint64(options.Self), "named", len(options.Named), "carried", len(options.SavedState) > 0)
	return nil
}

// memberAddressPoll is how often a process looks whether the one before it has released the member's address: no heartbeat is
// missed.
const memberAddressPoll = 50 * time.Millisecond

// resumeMember goes on as the member that the process before this one was, once that one has released its address or has
// died. Whatever fails here, this process serves.
func (p *process) resumeMember() {
	if p.members == nil || p.members.service != nil || p.stopping {
		return
	}
	err := p.startMember()
	if errors.Is(err, syscall.EADDRINUSE) {
		if !p.members.waiting {
			p.members.waiting = true
			p.log.Info("members.waits", "for", p.members.options.Listen)
		}
		p.loop.Timers.Add(p.loop.Now()+memberAddressPoll, p.resumeMember)
		return
	}
	if err != nil {
		p.log.Error("members.failed", "error", err, "then", "it serves, and is no member")
	}
}

// member is what this process is among others; nil: it is none, at present.
func (p *process) member() *membership.Service {
	if p.members == nil {
		return nil
	}
	return p.members.service
}

// memberState is what this process knows of the fleet; nil: it is no member.
func (p *process) memberState() []byte {
	member := p.member()
	if member == nil {
		return nil
	}
	state, err := member.SaveState()
	if err != nil { // the next process begins as after a restart
		p.log.Error("members.carried", "error", err)
	}
	return state
}

// handOverMember lets the process that serves in this one's place be the member. Where that one dies while this one lives,
// this one goes on from what it knows now.
func (p *process) handOverMember() {
	member := p.member()
	if member == nil {
		return
	}
	p.members.options.SavedState = p.memberState()
	member.HandOver()
	p.members.service = nil
}

// leaveMembership tells the others that this front end stops.
func (p *process) leaveMembership() {
	if member := p.member(); member != nil {
		member.Leave()
	}
}

// peerFigures are the figures of other front ends at the control endpoint; nil: this process is no member.
func (p *process) peerFigures() *core.PeerFigures {
	member := p.member()
	if member == nil {
		return nil
	}
	stats := member.Stats()
	return &core.PeerFigures{
		Live:        stats.Live,
		Known:       stats.Named,
		Unreachable: stats.PartlyReachable,
		Dead:        stats.Dead + stats.Unreachable,
		ViewNumber:  int(stats.View.Number),
		Majority:    stats.Majority,
	}
}

// reloadMembership reads the keys again. All else holds from the start on.
func (p *process) reloadMembership() error {
	if p.members == nil || p.members.options.Keys == nil {
		return nil
	}
	file, err := config.LoadFleet(p.members.path)
	if err != nil {
		return err
	}
	p.members.options.Keys.Replace(membershipKeys(file))
	return nil
}

// adminMembers answers an operator. It runs on a goroutine of its own.
func (p *process) adminMembers() admin.Reply {
	return onLoop(p, func() admin.Reply {
		member := p.member()
		if member == nil {
			return admin.Reply{Problem: "this gateway is no member among others", Done: true}
		}
		overview, err := json.Marshal(member.Overview())
		reply := admin.Reply{Membership: overview, Done: true}
		if err != nil {
			reply.Problem = err.Error()
		}
		return reply
	})
}
