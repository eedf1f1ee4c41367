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

// membershipNode is the membership of this gateway in a fleet of front ends.
type membershipNode struct {
	path              string // of the fleet file
	file              *config.Fleet
	options           membership.Options
	service           *membership.Service // nil: not started, not allowed to send messages, or another process is the member
	waitingForAddress bool                // the address is still in use by another process
}

// loadMembership reads the fleet file if there is one. The membership starts once this process serves.
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
	options.Config = file.MembershipConfig()
	options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if file.Peers == "platform" {
		return p.configurePlatformMembers(options)
	}
	listenAddr := netip.MustParseAddrPort(file.Listen) // cannot panic: LoadFleet has checked the address
	options.Listen = file.Listen
	options.Self = memberID(listenAddr)
	for _, seed := range file.Seeds {
		options.ConfiguredMembers = append(options.ConfiguredMembers, memberID(netip.MustParseAddrPort(seed)))
	}
	options.AddressOf = func(id decide.ID) (netip.AddrPort, bool) { return memberAddress(id), true }
	options.MemberAt = func(a netip.AddrPort) (decide.ID, bool) { return memberID(a), a.Addr().Is4() && a.Port() > 0 }
	options.Keys = membership.NewKeyring(listenAddr, membershipKeys(file))
	return nil
}

// memberID encodes a member's IPv4 address and port as its id, so that the id alone is enough to reach the member.
func memberID(address netip.AddrPort) decide.ID {
	b := address.Addr().As4()
	return decide.ID(b[0])<<40 | decide.ID(b[1])<<32 | decide.ID(b[2])<<24 | decide.ID(b[3])<<16 | decide.ID(address.Port())
}

// memberAddress is the inverse of memberID.
func memberAddress(id decide.ID) netip.AddrPort {
	ip := [4]byte{byte(id >> 40), byte(id >> 32), byte(id >> 24), byte(id >> 16)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(id))
}

// configurePlatformMembers takes the members from the platform configuration. A member's id is its position in the list of
// peers, from 1.
func (p *process) configurePlatformMembers(options *membership.Options) error {
	platform, ok := p.protocol.(*platformProtocol)
	if !ok {
		return config.Fault{File: p.members.path, Field: "peers", Problem: "the value \"platform\" requires the platform front end"}
	}
	cfg := platform.config
	if !cfg.Site.PeersAllowed || cfg.PeerListen == "" || len(cfg.Peers) == 0 {
		return nil // the platform does not allow messages between front ends
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
		options.ConfiguredMembers = append(options.ConfiguredMembers, id)
		if peer == cfg.PeerListen {
			options.Self = id
		}
	}
	if options.Self == 0 {
		return errors.New("configuration: peer_listen is not among peers")
	}
	options.Listen = cfg.PeerListen
	options.Config.ConfiguredMembersOnly = true
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

// membershipKeys converts the keys of a fleet file.
func membershipKeys(file *config.Fleet) []membership.Key {
	var keys []membership.Key
	for _, key := range file.Keys {
		keys = append(keys, membership.Key{Number: uint8(key.Number), Secret: key.Secret})
	}
	return keys
}

// startMembership starts the membership service, if one is configured and allowed.
func (p *process) startMembership() error {
	if p.members == nil {
		return nil
	}
	options := p.members.options
	if options.Listen == "" {
		p.log.Info("members.off", "why", "the configuration does not allow messages between front ends")
		return nil
	}
	service, err := membership.Start(p.loop, options, p.counters, p.log)
	if err != nil {
		return err
	}
	p.members.service = service
	p.members.waitingForAddress = false
	p.log.Info("members", "addr", service.Addr(), "self", uint64(options.Self), "named", len(options.ConfiguredMembers), "carried", len(options.SavedState) > 0)
	return nil
}

// addressPollInterval is the interval at which a process checks whether the previous one has released the member's address.
// It is short enough that no heartbeat is missed.
const addressPollInterval = 50 * time.Millisecond

// resumeMembership continues the membership of the previous process once that has released its address or has died. Errors
// are only logged: this process serves without a membership.
func (p *process) resumeMembership() {
	if p.members == nil || p.members.service != nil || p.stopping {
		return
	}
	err := p.startMembership()
	if errors.Is(err, syscall.EADDRINUSE) {
		if !p.members.waitingForAddress {
			p.members.waitingForAddress = true
			p.log.Info("members.waits", "for", p.members.options.Listen)
		}
		p.loop.Timers.Add(p.loop.Now()+addressPollInterval, p.resumeMembership)
		return
	}
	if err != nil {
		p.log.Error("members.failed", "error", err, "then", "the gateway serves without being a member")
	}
}

// member returns the membership service; nil means that this process is not a member at present.
func (p *process) member() *membership.Service {
	if p.members == nil {
		return nil
	}
	return p.members.service
}

// membershipState returns what this process knows about the fleet, encoded; nil means that it is not a member.
func (p *process) membershipState() []byte {
	member := p.member()
	if member == nil {
		return nil
	}
	state, err := member.SaveState()
	if err != nil { // the next process starts without the state, as after a restart
		p.log.Error("members.carried", "error", err)
	}
	return state
}

// handOverMembership releases the membership to the process that replaces this one. If that process dies first, this one
// resumes from the state it has now.
func (p *process) handOverMembership() {
	member := p.member()
	if member == nil {
		return
	}
	p.members.options.SavedState = p.membershipState()
	member.HandOver()
	p.members.service = nil
}

// leaveMembership tells the other members that this front end stops.
func (p *process) leaveMembership() {
	if member := p.member(); member != nil {
		member.Leave()
	}
}

// peerStats returns the statistics of other front ends for the control endpoint; nil means that this process is not a member.
func (p *process) peerStats() *core.PeerStats {
	member := p.member()
	if member == nil {
		return nil
	}
	stats := member.Stats()
	return &core.PeerStats{
		Live:            stats.Live,
		Known:           stats.KnownMembers,
		PartlyReachable: stats.PartlyReachable,
		Dead:            stats.Dead + stats.Unreachable,
		ViewNumber:      int(stats.View.Number),
		Majority:        stats.Majority,
	}
}

// reloadMembership reloads the keys. Changes to other settings need a restart.
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

// handleMembersCommand handles the admin command members. It must not be called on the loop's goroutine.
func (p *process) handleMembersCommand() admin.Reply {
	return onLoop(p, func() admin.Reply {
		member := p.member()
		if member == nil {
			return admin.Reply{Problem: "this gateway is not a member of a fleet", Done: true}
		}
		overview, err := json.Marshal(member.Overview())
		reply := admin.Reply{Membership: overview, Done: true}
		if err != nil {
			reply.Problem = err.Error()
		}
		return reply
	})
}
