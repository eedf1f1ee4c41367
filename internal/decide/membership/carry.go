package membership

import (
	"errors"
	"time"
)

// SavedState is what one process of a member knows of the fleet, for the process that takes its place: to all others the member
// goes on. It is a snapshot; what changes between it and the other's first tick is found by digests, as after a pause.
type SavedState struct {
	Self        ID            `cbor:"Self"`
	Incarnation uint32        `cbor:"Inc"`
	View        View          `cbor:"View"`
	HasMajority bool          `cbor:"Major"`
	HighestView uint32        `cbor:"Seen"`
	Members     []SavedMember `cbor:"Members"`
	Gossip      []byte        `cbor:"Talk"` // rumours, one after the other
}

// SavedMember is one other member.
type SavedMember struct {
	ID       ID            `cbor:"ID"`
	Record   []byte        `cbor:"Record"` // empty: named, and not heard of
	State    State         `cbor:"State"`
	ViewAge  time.Duration `cbor:"Ago"` // since it came into the view or left it
	LossRate float64       `cbor:"Loss"`
}

// ErrInvalidSavedState is that what another process left is of no use: of another member, or spoilt. The caller starts anew.
var ErrInvalidSavedState = errors.New("members: what another process left can't be read")

// SaveState returns what this member knows now.
func (m *Node) SaveState() SavedState {
	c := SavedState{Self: m.self.id, Incarnation: m.self.record.Inc, View: m.view, HasMajority: m.major, HighestView: m.seen}
	for _, p := range m.all {
		if p == m.self {
			continue
		}
		one := SavedMember{ID: p.id, State: p.state, ViewAge: m.now - p.seenIn, LossRate: p.loss}
		if p.known {
			one.Record = p.record.append(nil, place{})
		}
		c.Members = append(c.Members, one)
	}
	for _, r := range m.said(func(about) bool { return true }) {
		c.Gossip = r.append(c.Gossip)
	}
	return c
}

// Resume returns the member that a process before this one was, in a new incarnation: words on the old one are void, and
// nobody sees it go. It has heard nobody yet, so all silence counts from now on; its own words of before are not kept, as
// this process has not seen what they tell of.
func Resume(cfg Config, c SavedState, inc uint32, named []ID, now time.Duration, rng RandomSource) (*Node, error) {
	m := begin(cfg, c.Self, max(inc, c.Incarnation+1), named, now, rng)
	for _, one := range c.Members {
		if one.ID == c.Self || one.ID > MaxID || one.State > Departed || !(one.LossRate >= 0 && one.LossRate <= 1) || one.ViewAge < 0 || len(m.all) > mostMembers {
			return nil, ErrInvalidSavedState
		}
		p := m.peer(one.ID)
		p.state, p.seenIn, p.fresh, p.loss = one.State, now-min(one.ViewAge, now), now, one.LossRate
		if len(one.Record) == 0 {
			continue
		}
		r, rest, err := readRecord(one.Record, place{})
		if err != nil || len(rest) > 0 || r.Author != one.ID || p.known {
			return nil, ErrInvalidSavedState
		}
		p.record, p.known, p.ended = r, true, r.Inc
		m.sum(r)
		m.knows++
	}
	for b := c.Gossip; len(b) > 0; {
		r, rest, err := readRumour(b)
		if err != nil || len(m.talk.all) >= MaxGossipMessages {
			return nil, ErrInvalidSavedState
		}
		if b = rest; r.Owner == c.Self { // said anew, so that no earlier word of this member's is later
			r.Incarnation = m.self.record.Inc
			m.learn(r)
		} else if m.peers[r.Owner] != nil {
			m.talk.put(r)
		}
	}
	m.view, m.major, m.seen, m.shape = c.View, c.HasMajority, c.HighestView, c.View.Digest
	m.moved = true
	m.judge()
	return m, nil
}
