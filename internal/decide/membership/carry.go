package membership

import (
	"errors"
	"time"
)

// Carried is what one process of a member knows of the fleet, for the process that takes its place: to all others the member
// goes on. It is a snapshot; what changes between it and the other's first tick is found by digests, as after a pause.
type Carried struct {
	Self    ID
	Inc     uint32
	View    View
	Major   bool
	Seen    uint32
	Members []CarriedMember
	Talk    []byte // rumours, one after the other
}

// CarriedMember is one other member.
type CarriedMember struct {
	ID     ID
	Record []byte // empty: named, and not heard of
	State  State
	Ago    time.Duration // since it came into the view or left it
	Loss   float64
}

// ErrCarried is that what another process left is of no use: of another member, or spoilt. The caller starts anew.
var ErrCarried = errors.New("members: what another process left can't be read")

// Carry is what this member knows now.
func (m *Machine) Carry() Carried {
	c := Carried{Self: m.self.id, Inc: m.self.record.Inc, View: m.view, Major: m.major, Seen: m.seen}
	for _, p := range m.all {
		if p == m.self {
			continue
		}
		one := CarriedMember{ID: p.id, State: p.state, Ago: m.now - p.seenIn, Loss: p.loss}
		if p.known {
			one.Record = p.record.append(nil, place{})
		}
		c.Members = append(c.Members, one)
	}
	for _, r := range m.said(func(about) bool { return true }) {
		c.Talk = r.append(c.Talk)
	}
	return c
}

// Resume returns the member that a process before this one was, in a new incarnation: words on the old one are void, and
// nobody sees it go. It has heard nobody yet, so all silence counts from now on; its own words of before are not kept, as
// this process has not seen what they tell of.
func Resume(cfg Config, c Carried, inc uint32, named []ID, now time.Duration, rng Chance) (*Machine, error) {
	m := begin(cfg, c.Self, max(inc, c.Inc+1), named, now, rng)
	for _, one := range c.Members {
		if one.ID == c.Self || one.ID > MostID || one.State > Left || !(one.Loss >= 0 && one.Loss <= 1) || one.Ago < 0 || len(m.all) > mostMembers {
			return nil, ErrCarried
		}
		p := m.peer(one.ID)
		p.state, p.seenIn, p.fresh, p.loss = one.State, now-min(one.Ago, now), now, one.Loss
		if len(one.Record) == 0 {
			continue
		}
		r, rest, err := readRecord(one.Record, place{})
		if err != nil || len(rest) > 0 || r.Author != one.ID || p.known {
			return nil, ErrCarried
		}
		p.record, p.known, p.ended = r, true, r.Inc
		m.sum(r)
		m.knows++
	}
	for b := c.Talk; len(b) > 0; {
		r, rest, err := readRumour(b)
		if err != nil || len(m.talk.all) >= MostRumours {
			return nil, ErrCarried
		}
		if b = rest; r.Owner == c.Self { // said anew, so that no earlier word of this member's is later
			r.Inc = m.self.record.Inc
			m.learn(r)
		} else if m.peers[r.Owner] != nil {
			m.talk.put(r)
		}
	}
	m.view, m.major, m.seen, m.shape = c.View, c.Major, c.Seen, c.View.Digest
	m.moved = true
	m.judge()
	return m, nil
}
