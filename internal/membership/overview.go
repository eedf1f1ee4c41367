package membership

import (
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Stats are the figures at the control endpoint. Members are counted by state.
type Stats struct {
	Live            int // in the view
	Named           int // known, in any state
	Suspect         int
	PartlyReachable int
	Dead            int
	Unreachable     int

	View          decide.View
	Majority      bool   // more than half of the recent members are in the view
	HeardMembers  int    // members heard recently
	SameView      int    // of these, those with the same view
	SelfSuspicion string // why this member suspects itself; "": it does not
}

// Stats returns the current figures.
func (s *Service) Stats() Stats {
	var stats Stats
	stats.View, stats.Majority = s.node.View()
	stats.Live = stats.View.Size
	stats.HeardMembers, stats.SameView = s.node.ViewAgreement()
	if reason, active := s.node.SelfSuspicion(); active {
		stats.SelfSuspicion = reason.String()
	}
	for _, member := range s.node.Snapshot(s.loop.Now()) {
		stats.Named++
		switch member.State {
		case decide.Suspect:
			stats.Suspect++
		case decide.PartlyReachable:
			stats.PartlyReachable++
		case decide.Dead:
			stats.Dead++
		case decide.Unreachable:
			stats.Unreachable++
		default: // alive members are those of the view, others are not counted
		}
	}
	return stats
}

// Overview is all that a member knows of the fleet, for operators.
type Overview struct {
	Self          uint64           `json:"self"`
	Addr          string           `json:"address"`
	View          ViewOverview     `json:"view"`
	SelfSuspicion string           `json:"doubt,omitempty"`
	Members       []MemberOverview `json:"members"`
}

// ViewOverview is the view of a member.
type ViewOverview struct {
	Number       uint32 `json:"number"`
	Digest       string `json:"digest"`
	Size         int    `json:"size"`
	Majority     bool   `json:"majority"` // more than half of the recent members are in it
	HeardMembers int    `json:"heard"`    // members heard recently
	SameView     int    `json:"same"`     // of these, those with the same view
}

// MemberOverview is what a member knows of one member.
type MemberOverview struct {
	ID                 uint64      `json:"id"`
	Address            string      `json:"address"`
	State              string      `json:"state"`
	Incarnation        uint32      `json:"incarnation"`
	HeardMS            float64     `json:"heard_ms"` // ago; -1: not since the start
	LossRate           float64     `json:"loss"`
	SuspectsItself     bool        `json:"doubts_itself,omitempty"`
	Monitored          bool        `json:"watched,omitempty"`
	NotHeardBy         []decide.ID `json:"not_heard_by,omitempty"`
	NotHeardButAliveBy []decide.ID `json:"not_heard_by_but_alive,omitempty"`
	HeardBy            []decide.ID `json:"heard_by,omitempty"`
}

// Overview returns all that this member knows now.
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
