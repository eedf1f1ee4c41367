// Package admin is the local socket by which operators speak to a running gateway: one request
// in JSON on a line, replies in JSON, a line each, up to one with done. The socket's file mode
// decides who may use it: it is created for its owner alone.
package admin

import "encoding/json"

// Commands of a Request.
const (
	CommandStatus      = "status"
	CommandUpgrade     = "upgrade"
	CommandCheck       = "check" // would a program take over?
	CommandSiteStatus  = "site-status"
	CommandSiteDrain   = "site-drain"
	CommandSiteUndrain = "site-undrain"
	CommandMembers     = "members"
)

// Request is what an operator asks for.
type Request struct {
	Command string   `json:"do"`
	Site    string   `json:"site,omitempty"`
	Program string   `json:"program,omitempty"`
	Args    []string `json:"args,omitempty"`
}

// Reply is one line of an answer.
type Reply struct {
	Phase      string          `json:"phase,omitempty"`
	Problem    string          `json:"why,omitempty"` // why the request failed
	Build      string          `json:"build,omitempty"`
	Status     *Status         `json:"status,omitempty"`
	Sites      json.RawMessage `json:"sites,omitempty"` // forwarding.Overview
	Membership json.RawMessage `json:"fleet,omitempty"` // membership.Overview
	Done       bool            `json:"done"`            // no other reply follows
}

// Status is the current state of a gateway.
type Status struct {
	PID           int              `json:"pid"`
	Build         string           `json:"build"`
	Frontend      string           `json:"front"`
	Listen        string           `json:"listen"`
	Phase         string           `json:"phase"` // of an upgrade
	TookOver      bool             `json:"took_over"`
	UptimeSeconds float64          `json:"up_s"`
	Connections   int              `json:"connections"`
	Unanswered    int              `json:"unanswered"`
	Counters      map[string]int64 `json:"counters"`
}
