package membership

import (
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Stats are the numbers that the control endpoint reports. Members are counted by state.
type Stats struct {
	Live            int // members in the view
	KnownMembers    int // known members in any state, including this one
	Suspect         int // members that some others do not hear, for a cause not known yet
	PartlyReachable int // members that some others hear and some do not
	Dead            int // members declared dead
	Unreachable     int // members that have failed or are on the other side of a network partition

	View          decide.View // the installed view
	Majority      bool        // whether the view holds more than half of the recent fleet
	HeardMembers  int         // number of members of the view heard recently
	SameView      int         // how many of the HeardMembers have the same view as this member
	SelfSuspicion string      // why this member suspects itself; "": it does not
}

// Stats returns the current numbers.
func (s *Service) Stats() Stats {
	var stats Stats
	stats.View, stats.Majority = s.node.View()
	stats.Live = stats.View.Size
	stats.HeardMembers, stats.SameView = s.node.ViewAgreement()
	if reason, active := s.node.SelfSuspicion(); active {
		stats.SelfSuspicion = reason.String()
	}
	for _, member := range s.node.Snapshot(s.loop.Now()) {
		stats.KnownMembers++
		switch member.State {
		case decide.Suspect:
			stats.Suspect++
		case decide.PartlyReachable:
			stats.PartlyReachable++
		case decide.Dead:
			stats.Dead++
		case decide.Unreachable:
			stats.Unreachable++
		default: // alive members are counted by the view, unknown and departed ones only in KnownMembers
		}
	}
	return stats
}

// Overview is everything that a member knows about the fleet, for operators.
type Overview struct {
	Self          uint64           `json:"self"`    // ID of this member
	Addr          string           `json:"address"` // address at which this member receives datagrams
	View          ViewOverview     `json:"view"`
	SelfSuspicion string           `json:"doubt,omitempty"` // why this member suspects itself; empty: it does not
	Members       []MemberOverview `json:"members"`
}

// ViewOverview describes the view of a member.
type ViewOverview struct {
	Number       uint32 `json:"number"`
	Digest       string `json:"digest"`   // eight hexadecimal digits; equal views have equal digests
	Size         int    `json:"size"`     // number of members
	Majority     bool   `json:"majority"` // whether it holds more than half of the recent fleet
	HeardMembers int    `json:"heard"`    // number of members of the view heard recently
	SameView     int    `json:"same"`     // how many of the HeardMembers have the same view as this member
}

// MemberOverview is what a member knows about one member.
type MemberOverview struct {
	ID                 uint64      `json:"id"`
	Address            string      `json:"address"` // empty: not known
	State              string      `json:"state"`
	Incarnation        uint32      `json:"incarnation"`
	HeardMS            float64     `json:"heard_ms"`                         // milliseconds since it was last heard; -1: never since the start
	LossRate           float64     `json:"loss"`                             // fraction of its heartbeats that are lost, 0 to 1
	SuspectsItself     bool        `json:"doubts_itself,omitempty"`          // whether it states that it may not receive datagrams reliably
	Monitored          bool        `json:"watched,omitempty"`                // whether this member monitors it
	NotHeardBy         []decide.ID `json:"not_heard_by,omitempty"`           // members that report not hearing it
	NotHeardButAliveBy []decide.ID `json:"not_heard_by_but_alive,omitempty"` // members that do not hear it but know from others that it is alive
	HeardBy            []decide.ID `json:"heard_by,omitempty"`               // members that state that they hear it although others do not
}

// Overview returns the current overview.
func (s *Service) Overview() Overview {
	stats := s.Stats()
	overview := Overview{
		Self:          uint64(s.options.Self),
		Addr:          s.Addr(),
		SelfSuspicion: stats.SelfSuspicion,
		View: ViewOverview{
			Number:       stats.View.Number,
			Digest:       formatDigest(stats.View),
			Size:         stats.View.Size,
			Majority:     stats.Majority,
			HeardMembers: stats.HeardMembers,
			SameView:     stats.SameView,
		},
	}
	for _, status := range s.node.Snapshot(s.loop.Now()) {
		overview.Members = append(overview.Members, s.memberOverview(status))
	}
	return overview
}

func (s *Service) memberOverview(status decide.MemberStatus) MemberOverview {
	member := MemberOverview{
		ID:                 uint64(status.ID),
		State:              status.State.String(),
		Incarnation:        status.Incarnation,
		HeardMS:            -1,
		LossRate:           status.LossRate,
		SuspectsItself:     status.SuspectsItself,
		Monitored:          status.Monitored,
		NotHeardBy:         status.NotHeardBy,
		NotHeardButAliveBy: status.NotHeardButAliveBy,
		HeardBy:            status.HeardBy,
	}
	if status.SinceHeard >= 0 {
		member.HeardMS = float64(status.SinceHeard) / float64(time.Millisecond)
	}
	if address, ok := s.options.AddressOf(status.ID); ok {
		member.Address = address.String()
	}
	return member
}
